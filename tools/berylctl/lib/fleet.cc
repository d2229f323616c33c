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

std::optional<std::string> Get(HttpClient& http, const model::Member& member,
                               const std::string& target) {
  auto response = http.Send({member.http_address, "GET", target, ""});
  if (!response || response->status != kOkStatus) return std::nullopt;
  return std::move(response->body);
}

std::vector<HostView> LaggingHosts(HttpClient& http,
                                   const std::vector<model::Member>& members,
                                   const model::DocumentRef& wanted) {
  std::vector<HostView> lagging;
  for (const model::Member& member : members) {
    HostView view = FetchStatus(http, member);
    if (!HasInForce(view, wanted)) lagging.push_back(std::move(view));
  }
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

HostView FetchStatus(HttpClient& http, const model::Member& member) {
  HostView view{member, std::nullopt};
  const auto body = Get(http, member, "/v1/status");
  if (!body) return view;
  auto parsed = config::ParseHostStatus(*body);
  // Another process may have bound the address of a host that has exited.
  if (parsed.value && parsed.value->host == member.host)
    view.status = std::move(parsed.value);
  return view;
}

std::optional<config::HostTimeline> FetchTimeline(HttpClient& http,
                                                  const model::Member& member) {
  const auto body = Get(http, member, "/v1/timeline?after=0");
  if (!body) return std::nullopt;
  return config::ParseHostTimeline(*body).value;
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
