// Hosts, callers and operators of a World.
#include "berylreach/testing/world.h"

#include <algorithm>
#include <utility>

#include "berylreach/testing/operator_session.h"
#include "berylreach/testing/world_host.h"

namespace berylreach::testing {
namespace {

/// Virtual time between two evaluations of the condition of RunUntil.
constexpr std::chrono::milliseconds kPollInterval{1};

}  // namespace

World::World(model::Environment environment, std::uint64_t seed)
    : random_(seed),
      queue_(clock_),
      store_(queue_, random_),
      environment_(std::move(environment)) {
  // Start above 0, because some state machines give time 0 a special meaning.
  clock_.Advance(std::chrono::hours(1));
  for (const model::Service& service : environment_.services) {
    for (const model::Leaf& leaf : service.leaves) {
      leaves_.emplace(leaf.name.value,
                      std::make_unique<FakeLeaf>(queue_, random_, leaf,
                                                 [this](const LeafRun& run) {
                                                   runs_.push_back(run);
                                                 }));
    }
    PublishVersion(service.name.value, 1, service.shards, false);
  }
}

World::~World() = default;

World::Host* World::Find(const std::string& host) {
  const auto found = hosts_.find(host);
  return found == hosts_.end() ? nullptr : found->second.get();
}

const World::Host* World::Find(const std::string& host) const {
  const auto found = hosts_.find(host);
  return found == hosts_.end() ? nullptr : found->second.get();
}

void World::StartHost(const std::string& host, const std::string& zone) {
  core::CoreOptions options;
  options.self = {
      {host}, ++last_incarnation_, {zone}, host + ":1", host + ":2"};
  options.environment = "production";
  auto started = std::make_unique<Host>();
  started->name = host;
  started->incarnation = last_incarnation_;
  started->core = std::make_unique<core::HostCore>(clock_, options);
  Host& running = *started;
  hosts_[host] = std::move(started);
  Execute(running, running.core->Start());
}

void World::KillHost(const std::string& host) {
  for (CallerRecord& record : records_) {
    if (record.host.value == host && record.replies == 0)
      record.host_lost = true;
  }
  ResetConnections(host);
  hosts_.erase(host);
}

void World::FreezeHost(const std::string& host) {
  if (Host* found = Find(host)) found->frozen = true;
}

void World::WakeHost(const std::string& host) {
  Host* found = Find(host);
  if (found == nullptr || !found->frozen) return;
  found->frozen = false;
  const std::uint64_t incarnation = found->incarnation;
  auto events = std::exchange(found->delayed, {});
  for (auto& event : events) event();
  Dispatch(host, incarnation, [](core::HostCore& core) { return core.Tick(); });
}

void World::StopHost(const std::string& host) {
  if (const Host* found = Find(host)) {
    Dispatch(host, found->incarnation,
             [](core::HostCore& core) { return core.Stop(); });
  }
}

bool World::Stopped(const std::string& host) const {
  const Host* found = Find(host);
  return found != nullptr && found->core->stopped();
}

bool World::Ready(const std::string& host) const {
  const Host* found = Find(host);
  return found != nullptr && !found->frozen && found->core->ready();
}

const core::HostCore* World::Core(const std::string& host) const {
  const Host* found = Find(host);
  return found == nullptr ? nullptr : found->core.get();
}

std::vector<std::string> World::RunningHosts() const {
  std::vector<std::string> names;
  for (const auto& [name, host] : hosts_) names.push_back(name);
  return names;
}

void World::Dispatch(const std::string& host, std::uint64_t incarnation,
                     std::function<core::Actions(core::HostCore&)> event) {
  Host* found = Find(host);
  if (found == nullptr || found->incarnation != incarnation) return;
  if (found->frozen) {
    found->delayed.push_back([this, host, incarnation, event] {
      Dispatch(host, incarnation, event);
    });
    return;
  }
  if (observer_ != nullptr) observer_->OnEventBegin();
  core::Actions actions = event(*found->core);
  if (observer_ != nullptr) observer_->OnEventEnd();
  Execute(*found, std::move(actions));
}

std::size_t World::SendRequest(const std::string& host,
                               model::CallerRequest request,
                               std::chrono::milliseconds deadline) {
  request.id = {~std::uint64_t{0}, ++last_request_};
  request.deadline = clock_.Now() + deadline;
  CallerRecord record;
  record.host = {host};
  record.request = request;
  record.sent_at = clock_.Now();
  const Host* found = Find(host);
  record.host_lost = found == nullptr;
  record.incarnation = found == nullptr ? 0 : found->incarnation;
  record_of_.emplace(request.id, records_.size());
  records_.push_back(record);
  Dispatch(host, record.incarnation, [request](core::HostCore& core) {
    return core.OnCallerRequest(request);
  });
  return records_.size() - 1;
}

void World::OnReply(const core::ReplyToCaller& reply) {
  CallerRecord& record = records_.at(record_of_.at(reply.id));
  ++record.replies;
  record.reply = reply.reply;
  record.replied_at = clock_.Now();
}

std::optional<std::uint64_t> World::Submit(
    const model::Environment& environment) {
  // Shared, because the submission may still run after the wait has timed out.
  const auto written = std::make_shared<std::optional<std::uint64_t>>();
  SubmitLater(environment,
              [written](std::uint64_t version) { *written = version; });
  RunUntil([&] { return written->has_value(); }, std::chrono::seconds(10));
  return *written;
}

std::shared_ptr<OperatorSession> World::MakeSession(
    const model::Environment& environment,
    std::function<void(std::uint64_t)> done) {
  return std::make_shared<OperatorSession>(
      queue_, store_, random_.Bits(), environment,
      [this, environment, done = std::move(done)](std::uint64_t version) {
        if (version != 0) environment_ = environment;
        done(version);
      });
}

void World::SubmitLater(const model::Environment& environment,
                        std::function<void(std::uint64_t)> written) {
  submissions_.push_back({environment, std::move(written)});
  if (submissions_.size() == 1) StartSubmission();
}

void World::StartSubmission() {
  const auto session = MakeSession(
      submissions_.front().environment, [this](std::uint64_t version) {
        Submission& submission = submissions_.front();
        if (version != 0) submission.written(version);
        // After a conflict the operator reviews the changes and submits again.
        if (version != 0 || --submission.attempts == 0)
          submissions_.pop_front();
        if (!submissions_.empty()) StartSubmission();
      });
  queue_.After(base::Duration(0), [session] { session->Start(); });
}

void World::SubmitRacing(const model::Environment& environment,
                         std::function<void(std::uint64_t)> written) {
  const auto session = MakeSession(
      environment, [written = std::move(written)](std::uint64_t version) {
        if (version != 0) written(version);
      });
  queue_.After(base::Duration(0), [session] { session->Start(); });
}

void World::SetLeaving(const std::set<std::string>& leaves) {
  ++host_list_.index;
  host_list_.entries.clear();
  for (const std::string& leaf : leaves)
    host_list_.entries.push_back({leaf, true});
}

void World::PublishVersion(const std::string& service, std::uint64_t version,
                           std::uint32_t shard_count, bool keep_previous) {
  const model::Service* found = model::FindService(environment_, {service});
  std::size_t leaf_index = 0;
  for (const model::Leaf& leaf : found->leaves) {
    FakeLeaf& fake = *leaves_.at(leaf.name.value);
    std::vector<model::Holding> holdings;
    if (keep_previous) holdings = fake.Status().holdings;
    // Leaves are ordered by name, so the replicas of a shard are adjacent.
    const auto shard = static_cast<std::uint32_t>(
        leaf_index++ * std::size_t{shard_count} / found->leaves.size());
    holdings.push_back({version, shard, shard_count});
    fake.SetHoldings(std::move(holdings));
  }
}

bool World::RunUntil(const std::function<bool()>& condition,
                     base::Duration limit) {
  const base::TimePoint end = queue_.Now() + limit;
  while (!condition()) {
    if (queue_.Now() >= end) return false;
    RunFor(kPollInterval);
  }
  return true;
}

}  // namespace berylreach::testing
