// Queries the hosts of an environment for their state.
#include "berylreach/berylctl/fleet.h"

#include <algorithm>
#include <utility>

namespace berylreach::berylctl {
namespace {

constexpr unsigned kOkStatus = 200;
constexpr std::chrono::milliseconds kPollInterval{200};
/// Time between reads of the head record while hosts lag; each read counts
/// against the rate limits of the platform.
constexpr std::chrono::seconds kHeadReadInterval{1};

/// Sends a GET request for `target` to each member. Returns the bodies of the
/// successful responses, in the order of `members`.
std::vector<std::optional<std::string>> GetFromAll(
    HttpClient& http, const std::vector<model::Member>& members,
    const std::string& target) {
  std::vector<HttpRequest> requests;
  for (const model::Member& member : members)
    requests.push_back({member.http_address, "GET", target, ""});
  std::vector<std::optional<std::string>> bodies;
  for (HttpResult& result : http.SendAll(requests)) {
    auto& body = bodies.emplace_back();
    if (result && result->status == kOkStatus) body = std::move(result->body);
  }
  return bodies;
}

std::optional<config::HostStatus> ParseStatus(
    const std::optional<std::string>& body, const model::Member& member) {
  if (!body) return std::nullopt;
  auto parsed = config::ParseHostStatus(*body);
  // Another process may have bound the address of a host that has exited.
  if (!parsed.value || parsed.value->host != member.host) return std::nullopt;
  return std::move(parsed.value);
}

std::vector<HostView> LaggingHosts(HttpClient& http,
                                   const std::vector<model::Member>& members,
                                   const model::DocumentRef& wanted) {
  std::vector<HostView> lagging = FetchStatuses(http, members);
  std::erase_if(lagging, [&wanted](const HostView& view) {
    return HasInForce(view, wanted);
  });
  return lagging;
}

Failure LagFailure(const model::DocumentRef& wanted,
                   const std::vector<HostView>& lagging) {
  Failure failure{ExitCode::kHostsLag,
                  "version " + std::to_string(wanted.version) +
                      " is accepted, but " + std::to_string(lagging.size()) +
                      " hosts lag"};
  for (const HostView& view : lagging)
    failure.hosts.push_back(DescribeLag(view));
  return failure;
}

}  // namespace

std::vector<HostView> FetchStatuses(HttpClient& http,
                                    const std::vector<model::Member>& members) {
  const auto bodies = GetFromAll(http, members, "/v1/status");
  std::vector<HostView> views;
  for (std::size_t i = 0; i < members.size(); ++i)
    views.push_back({members[i], ParseStatus(bodies[i], members[i])});
  return views;
}

std::vector<std::optional<config::HostTimeline>> FetchTimelines(
    HttpClient& http, const std::vector<model::Member>& members) {
  std::vector<std::optional<config::HostTimeline>> timelines;
  for (const auto& body : GetFromAll(http, members, "/v1/timeline?after=0")) {
    auto& timeline = timelines.emplace_back();
    if (body) timeline = config::ParseHostTimeline(*body).value;
  }
  return timelines;
}

bool HasInForce(const HostView& view, const model::DocumentRef& wanted) {
  if (!view.status) return false;
  const config::HostStatus& status = *view.status;
  return !status.has_lease || status.document.version > wanted.version ||
         status.document == wanted;
}

std::string DescribeLag(const HostView& view) {
  const std::string host =
      view.member.host.value + " (" + view.member.zone.value + "): ";
  if (!view.status)
    return host + "does not answer at " + view.member.http_address;
  return host + "has version " + std::to_string(view.status->document.version) +
         " in force";
}

Result<std::size_t> AwaitHosts(EnvironmentStore& store, Runtime& runtime,
                               const model::DocumentRef& wanted,
                               base::Duration timeout) {
  const base::TimePoint deadline = runtime.clock.Now() + timeout;
  BOOST_OUTCOME_TRY(auto head, store.ReadHead());
  base::TimePoint next_read = runtime.clock.Now() + kHeadReadInterval;
  while (true) {
    const auto lagging =
        LaggingHosts(runtime.http, head.record.members, wanted);
    if (lagging.empty()) return head.record.members.size();
    if (runtime.clock.Now() >= deadline) return LagFailure(wanted, lagging);
    runtime.sleep(kPollInterval);
    if (runtime.clock.Now() < next_read) continue;
    // Hosts that have been removed from the record need not respond.
    next_read = runtime.clock.Now() + kHeadReadInterval;
    if (auto read = store.ReadHead(); read)
      head = std::move(read).assume_value();
  }
}

}  // namespace berylreach::berylctl
