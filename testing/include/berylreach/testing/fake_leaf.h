// Fake leaf that runs in virtual time and simulates faults.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "berylreach/model/leaf.h"
#include "berylreach/model/leaf_status.h"
#include "berylreach/model/upstream_call.h"
#include "berylreach/model/upstream_result.h"
#include "berylreach/testing/event_queue.h"
#include "berylreach/testing/leaf_run.h"
#include "berylreach/testing/random.h"

namespace berylreach::testing {

/// Replaces a leaf and the connection to it: takes an UpstreamCall and replies
/// with an UpstreamResult. A call that completes returns the text that
/// ResultText makes.
class FakeLeaf {
 public:
  using Reply = std::function<void(model::UpstreamResult)>;
  /// Invoked with each call that starts to run.
  using OnRun = std::function<void(const LeafRun&)>;

  FakeLeaf(EventQueue& queue, Random& random, model::Leaf leaf, OnRun on_run);

  /// Delivers `call` to the leaf; `reply` is called later with the result.
  void Call(const model::UpstreamCall& call, Reply reply);
  /// Stops a running call, unless it is an order.
  void Cancel(const model::CallId& id);
  model::LeafStatus Status() const;

  /// Ends the process: running calls are lost, and connections are refused
  /// until Restart.
  void Kill();
  /// Starts a new process, which is cold.
  void Restart();
  /// Makes the leaf cold without a new process: it must get at most one call at
  /// a time until one has completed.
  void TurnCold();
  /// While silent, the leaf answers neither calls nor status reads.
  void SetSilent(bool silent) { silent_ = silent; }
  /// While shedding, the leaf refuses each call without running it.
  void SetShedding(bool shedding) { shedding_ = shedding; }
  /// While draining, the leaf refuses each new call and completes the running
  /// ones.
  void SetDraining(bool draining) { draining_ = draining; }
  void SetHoldings(std::vector<model::Holding> holdings) {
    holdings_ = std::move(holdings);
  }
  /// Sets the service time; each call takes `time` multiplied by a random
  /// factor between 0.5 and 1.5.
  void SetServiceTime(base::Duration time) { service_time_ = time; }
  /// While set, each call ends as if the leaf had sent the answer to another
  /// request.
  void SetSwapsAnswers(bool swaps) { swaps_answers_ = swaps; }
  /// While set, answers from the first holding, whatever version a call names.
  void SetIgnoresVersion(bool ignores) { ignores_version_ = ignores; }
  /// While set, runs calls past their deadline, as a leaf does whose clock is
  /// behind.
  void SetIgnoresDeadline(bool ignores) { ignores_deadline_ = ignores; }

  const model::Leaf& leaf() const { return leaf_; }
  bool alive() const { return alive_; }
  std::uint64_t incarnation() const { return incarnation_; }
  /// Maximum number of calls that ran at the same time, counted over the whole
  /// test and only while the leaf was cold.
  std::uint32_t max_running() const { return max_running_; }
  std::uint32_t max_running_cold() const { return max_running_cold_; }

  /// Payload that crashes each leaf that runs it.
  static constexpr const char* kKillingPayload = "\"kill\"";

 private:
  struct Running {
    model::UpstreamCall call;
    Reply reply;
    std::uint64_t incarnation = 0;
  };

  bool HasHoldingFor(const model::UpstreamCall& call) const;
  void Start(const model::UpstreamCall& call, const Reply& reply);
  void Complete(const model::CallId& id, std::uint64_t incarnation);
  void Expire(const model::CallId& id, std::uint64_t incarnation);
  model::UpstreamResult ResultFor(const model::UpstreamCall& call,
                                  model::LeafOutcome outcome) const;

  EventQueue& queue_;
  Random& random_;
  model::Leaf leaf_;
  OnRun on_run_;
  std::vector<model::Holding> holdings_;
  std::map<model::CallId, Running> running_;
  std::uint64_t incarnation_ = 1;
  std::uint32_t max_running_ = 0;
  std::uint32_t max_running_cold_ = 0;
  bool alive_ = true;
  bool cold_ = true;
  bool silent_ = false;
  bool shedding_ = false;
  bool draining_ = false;
  bool swaps_answers_ = false;
  bool ignores_version_ = false;
  bool ignores_deadline_ = false;
  base::Duration service_time_ = std::chrono::milliseconds(10);
};

/// The result text of a call that ran: a JSON array of service, payload, key,
/// shard, shard count and version, so that checks can compare a result with the
/// request that it answers.
std::string ResultText(const model::UpstreamCall& call, std::uint64_t version,
                       std::uint32_t shard, std::uint32_t shard_count);

}  // namespace berylreach::testing
