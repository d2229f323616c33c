// A leaf in virtual time with faults.
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

/// Stands in for a leaf and the connection to it, at the interface of
/// UpstreamCall and UpstreamResult. A run answers with the text that ResultText
/// describes.
class FakeLeaf {
 public:
  using Reply = std::function<void(model::UpstreamResult)>;
  using OnRun = std::function<void(const LeafRun&)>;

  FakeLeaf(EventQueue& queue, Random& random, model::Leaf leaf, OnRun on_run);

  void Call(const model::UpstreamCall& call, Reply reply);
  void Cancel(const model::CallId& id);
  model::LeafStatus Status() const;

  /// Ends the process: running calls are lost, new ones refused until Restart.
  void Kill();
  /// Starts a new process, cold.
  void Restart();
  /// Turns cold without a new process: bears one call at a time until one has
  /// completed.
  void TurnCold();
  /// Calls and status reads on existing connections get no answer until
  /// Unsilence.
  void SetSilent(bool silent) { silent_ = silent; }
  void SetShedding(bool shedding) { shedding_ = shedding; }
  void SetDraining(bool draining) { draining_ = draining; }
  void SetHoldings(std::vector<model::Holding> holdings) {
    holdings_ = std::move(holdings);
  }
  /// Every call takes `time`, times a random factor between 0.5 and 1.5.
  void SetServiceTime(base::Duration time) { service_time_ = time; }
  /// The next calls answer for another request.
  void SetCrossed(bool crossed) { crossed_ = crossed; }
  /// Answers from its first holding, whatever version a call names.
  void SetIgnoresVersion(bool ignores) { ignores_version_ = ignores; }
  /// Runs calls past their deadline, as a leaf does whose clock is behind.
  void SetIgnoresDeadline(bool ignores) { ignores_deadline_ = ignores; }

  const model::Leaf& leaf() const { return leaf_; }
  bool alive() const { return alive_; }
  std::uint64_t incarnation() const { return incarnation_; }
  /// Most calls that ran at the same time, and while the leaf was cold.
  std::uint32_t most_running() const { return most_running_; }
  std::uint32_t most_running_cold() const { return most_running_cold_; }

  /// Payload that ends the process of every leaf that runs it.
  static constexpr const char* kKillingPayload = "\"kill\"";

 private:
  struct Running {
    model::UpstreamCall call;
    Reply reply;
    std::uint64_t incarnation = 0;
  };

  bool Holds(const model::UpstreamCall& call) const;
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
  std::uint32_t most_running_ = 0;
  std::uint32_t most_running_cold_ = 0;
  bool alive_ = true;
  bool cold_ = true;
  bool silent_ = false;
  bool shedding_ = false;
  bool draining_ = false;
  bool crossed_ = false;
  bool ignores_version_ = false;
  bool ignores_deadline_ = false;
  base::Duration service_time_ = std::chrono::milliseconds(10);
};

/// The result of a run: service, payload, key, shard, shard count and version,
/// as checks need them.
std::string ResultText(const model::UpstreamCall& call, std::uint64_t version,
                       std::uint32_t shard, std::uint32_t shard_count);

}  // namespace berylreach::testing
