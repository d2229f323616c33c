// Fake leaf that runs in virtual time and simulates faults.
#include "berylreach/testing/fake_leaf.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace berylreach::testing {
namespace {

using model::LeafOutcome;

// One-way latency between a host and a leaf of its zone.
constexpr std::chrono::microseconds kOneWayLatency{300};
// A killing payload crashes the process this long after the call started.
constexpr std::chrono::milliseconds kCrashDelay{3};

}  // namespace

std::string ResultText(const model::UpstreamCall& call, std::uint64_t version,
                       std::uint32_t shard, std::uint32_t shard_count) {
  return "[\"" + call.service.value + "\"," + call.payload + ",\"" + call.key +
         "\"," + std::to_string(shard) + "," + std::to_string(shard_count) +
         "," + std::to_string(version) + "]";
}

FakeLeaf::FakeLeaf(EventQueue& queue, Random& random, model::Leaf leaf,
                   OnRun on_run)
    : queue_(queue),
      random_(random),
      leaf_(std::move(leaf)),
      on_run_(std::move(on_run)) {}

model::UpstreamResult FakeLeaf::ResultFor(const model::UpstreamCall& call,
                                          LeafOutcome outcome) const {
  model::UpstreamResult result;
  result.id = call.id;
  result.leaf = leaf_.name;
  result.outcome = outcome;
  result.holdings = holdings_;
  if (alive_) result.incarnation = incarnation_;
  return result;
}

bool FakeLeaf::HasHoldingFor(const model::UpstreamCall& call) const {
  if (call.version == 0 || ignores_version_) return true;
  return std::any_of(
      holdings_.begin(), holdings_.end(), [&](const model::Holding& holding) {
        return holding.version == call.version && holding.shard == call.shard;
      });
}

void FakeLeaf::Call(const model::UpstreamCall& call, Reply reply) {
  if (!alive_) {
    auto result = ResultFor(call, LeafOutcome::kNotSent);
    result.connect_failed = true;
    queue_.After(kOneWayLatency, [reply, result] { reply(result); });
    return;
  }
  if (silent_) {
    // The peer of the connection does not respond; the call never arrives.
    auto result = ResultFor(call, LeafOutcome::kTimedOut);
    result.incarnation = 0;
    queue_.At(call.not_after, [reply, result] { reply(result); });
    return;
  }
  const std::uint64_t incarnation = incarnation_;
  queue_.After(kOneWayLatency, [this, call, reply, incarnation] {
    if (alive_ && incarnation_ == incarnation) return Start(call, reply);
    const auto result = ResultFor(call, LeafOutcome::kLeafCrashed);
    queue_.After(kOneWayLatency, [reply, result] { reply(result); });
  });
}

void FakeLeaf::Start(const model::UpstreamCall& call, const Reply& reply) {
  const auto refuse = [&](LeafOutcome outcome) {
    const auto result = ResultFor(call, outcome);
    queue_.After(kOneWayLatency, [reply, result] { reply(result); });
  };
  const bool late = queue_.Now() >= call.not_after;
  if (late && !ignores_deadline_) return refuse(LeafOutcome::kTimedOut);
  if (draining_) return refuse(LeafOutcome::kDraining);
  if (shedding_) return refuse(LeafOutcome::kShed);
  if (!HasHoldingFor(call)) return refuse(LeafOutcome::kVersionGone);
  const std::uint64_t incarnation = incarnation_;
  running_[call.id] = Running{call, reply, incarnation};
  const auto running = static_cast<std::uint32_t>(running_.size());
  max_running_ = std::max(max_running_, running);
  if (cold_) max_running_cold_ = std::max(max_running_cold_, running);
  on_run_({queue_.Now(), leaf_.name, call.service, call.kind, call.key,
           call.payload});
  if (call.payload == kKillingPayload) {
    queue_.After(kCrashDelay, [this, incarnation] {
      if (alive_ && incarnation_ == incarnation) Kill();
    });
    return;
  }
  const auto time = std::chrono::duration_cast<base::Duration>(
      service_time_ * (0.5 + random_.Unit()));
  const auto id = call.id;
  queue_.After(time, [this, id, incarnation] { Complete(id, incarnation); });
  if (ignores_deadline_) return;
  queue_.At(call.not_after,
            [this, id, incarnation] { Expire(id, incarnation); });
}

void FakeLeaf::Complete(const model::CallId& id, std::uint64_t incarnation) {
  const auto found = running_.find(id);
  if (found == running_.end() || found->second.incarnation != incarnation)
    return;
  const Running run = std::move(found->second);
  running_.erase(found);
  cold_ = false;
  const bool silent = silent_;
  auto result =
      ResultFor(run.call, silent ? LeafOutcome::kTimedOut : LeafOutcome::kOk);
  const auto holding = std::find_if(
      holdings_.begin(), holdings_.end(), [&](const model::Holding& candidate) {
        return run.call.version == 0 || ignores_version_ ||
               (candidate.version == run.call.version &&
                candidate.shard == run.call.shard);
      });
  if (holding != holdings_.end()) {
    result.version = holding->version;
    result.shard = run.call.shard;
    result.shard_count = holding->shard_count;
  }
  result.result =
      ResultText(run.call, result.version, result.shard, result.shard_count);
  // The host discards an answer to another request and closes the connection.
  if (swaps_answers_) result = ResultFor(run.call, LeafOutcome::kLost);
  const auto reply = run.reply;
  if (silent) {
    queue_.At(run.call.not_after, [reply, result] { reply(result); });
  } else {
    queue_.After(kOneWayLatency, [reply, result] { reply(result); });
  }
}

void FakeLeaf::Expire(const model::CallId& id, std::uint64_t incarnation) {
  const auto found = running_.find(id);
  if (found == running_.end() || found->second.incarnation != incarnation)
    return;
  const auto result = ResultFor(found->second.call, LeafOutcome::kTimedOut);
  const auto reply = found->second.reply;
  running_.erase(found);
  reply(result);
}

void FakeLeaf::Cancel(const model::CallId& id) {
  const auto found = running_.find(id);
  if (found == running_.end()) return;
  // A running order cannot be cancelled, because it cannot be undone.
  if (found->second.call.kind == model::RequestKind::kOrder) return;
  // The leaf confirms that it has stopped the call.
  auto result = ResultFor(found->second.call, LeafOutcome::kNotSent);
  result.call_ended = true;
  const auto reply = found->second.reply;
  running_.erase(found);
  queue_.After(kOneWayLatency, [reply, result] { reply(result); });
}

model::LeafStatus FakeLeaf::Status() const {
  model::LeafStatus status;
  status.leaf = leaf_.name;
  status.reachable = alive_ && !silent_;
  status.connection_refused = !alive_;
  if (!status.reachable) return status;
  status.incarnation = incarnation_;
  status.draining = draining_;
  status.holdings = holdings_;
  return status;
}

void FakeLeaf::Kill() {
  alive_ = false;
  auto lost = std::exchange(running_, {});
  for (const auto& [id, run] : lost) {
    const auto result = ResultFor(run.call, LeafOutcome::kLeafCrashed);
    const auto reply = run.reply;
    queue_.After(kOneWayLatency, [reply, result] { reply(result); });
  }
}

void FakeLeaf::Restart() {
  alive_ = true;
  cold_ = true;
  ++incarnation_;
}

void FakeLeaf::TurnCold() { cold_ = true; }

}  // namespace berylreach::testing
