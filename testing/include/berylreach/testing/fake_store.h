// Fake key-value store that runs in virtual time and simulates faults.
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

/// Replaces the platform's store: takes a StoreRequest and replies with a
/// StoreResult. Keeps all keys in memory.
class FakeStore {
 public:
  using Reply = std::function<void(model::StoreResult)>;

  FakeStore(EventQueue& queue, Random& random)
      : queue_(queue), random_(random) {}

  /// Executes a request; `reply` is called later, exactly once.
  void Call(const model::StoreRequest& request, Reply reply);

  /// While down, each call times out with an unknown outcome and has no effect.
  void SetDown(bool down) { down_ = down; }
  /// Sets the time that each call takes. Calls that take as long as the timeout
  /// end with an unknown outcome, but their writes take effect.
  void SetDelay(base::Duration delay) { delay_ = delay; }
  /// Sets the probability that the response to a write is lost after the write
  /// took effect.
  void SetLoseResponses(double probability) { lose_responses_ = probability; }
  /// Sets the probability that a write takes effect only after it timed out.
  void SetLateWrites(double probability) { late_writes_ = probability; }
  /// While set, reads other than watches return the value before the last
  /// write.
  void SetStaleReads(bool stale) { stale_reads_ = stale; }

  /// Number of calls so far, watches included.
  std::uint64_t calls() const { return calls_; }

  /// The current value of a key, for checks; empty if absent.
  std::string Value(const std::string& key) const;

 private:
  struct Entry {
    std::string value;
    std::uint64_t revision = 0;
    std::string previous_value;
    std::uint64_t previous_revision = 0;
  };
  /// A read that waits for a change of its key.
  struct Watch {
    model::StoreRequest request;
    Reply reply;
  };

  void Apply(const model::StoreRequest& request, const Reply& reply);
  void Read(const model::StoreRequest& request, const Reply& reply,
            bool stale) const;
  void StartWatch(const model::StoreRequest& request, const Reply& reply);
  model::StoreResult CompareAndSwap(const model::StoreRequest& request);
  /// Answers all watches of `key`.
  void NotifyWatches(const std::string& key);

  EventQueue& queue_;
  Random& random_;
  std::map<std::string, Entry> entries_;
  std::map<std::uint64_t, Watch> watches_;
  std::uint64_t last_revision_ = 0;
  std::uint64_t last_watch_ = 0;
  std::uint64_t calls_ = 0;
  bool down_ = false;
  bool stale_reads_ = false;
  double lose_responses_ = 0;
  double late_writes_ = 0;
  base::Duration delay_ = std::chrono::milliseconds(2);
};

}  // namespace berylreach::testing
