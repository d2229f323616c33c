// In-memory key-value store with faults.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "berylreach/model/store_request.h"
#include "berylreach/model/store_result.h"
#include "berylreach/testing/event_queue.h"
#include "berylreach/testing/random.h"

namespace berylreach::testing {

/// Stands in for the platform's store at the interface of StoreRequest and
/// StoreResult.
class FakeStore {
 public:
  using Reply = std::function<void(model::StoreResult)>;

  FakeStore(EventQueue& queue, Random& random)
      : queue_(queue), random_(random) {}

  /// Takes a request; `reply` is called later, exactly once.
  void Call(const model::StoreRequest& request, Reply reply);

  /// Every call ends as unknown after a time-out, without effect.
  void SetDown(bool down) { down_ = down; }
  /// Time that each call takes.
  void SetDelay(base::Duration delay) { delay_ = delay; }
  /// Probability that the answer to a write is lost after it took effect.
  void SetLoseAnswers(double probability) { lose_answers_ = probability; }
  /// Probability that a write takes effect only after its caller has given it
  /// up.
  void SetLateWrites(double probability) { late_writes_ = probability; }
  /// Plain reads return the value before the last write.
  void SetStaleReads(bool stale) { stale_reads_ = stale; }

  /// Calls so far, watches included.
  std::uint64_t calls() const { return calls_; }

  /// Current value; empty if absent. For checks.
  std::string Value(const std::string& key) const;

 private:
  struct Entry {
    std::string value;
    std::uint64_t revision = 0;
    std::string previous_value;
    std::uint64_t previous_revision = 0;
  };
  struct Watch {
    model::StoreRequest request;
    Reply reply;
  };

  void Apply(const model::StoreRequest& request, const Reply& reply);
  void Read(const model::StoreRequest& request, const Reply& reply,
            bool stale) const;
  void StartWatch(const model::StoreRequest& request, const Reply& reply);
  model::StoreResult CompareAndSwap(const model::StoreRequest& request);
  void FireWatches(const std::string& key);

  EventQueue& queue_;
  Random& random_;
  std::map<std::string, Entry> entries_;
  std::map<std::uint64_t, Watch> watches_;
  std::uint64_t last_revision_ = 0;
  std::uint64_t last_watch_ = 0;
  std::uint64_t calls_ = 0;
  bool down_ = false;
  bool stale_reads_ = false;
  double lose_answers_ = 0;
  double late_writes_ = 0;
  base::Duration delay_ = std::chrono::milliseconds(2);
};

}  // namespace berylreach::testing
