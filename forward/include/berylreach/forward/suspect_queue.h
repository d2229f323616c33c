// Queue of quarantine entries that are to be written to the store for other
// hosts.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

#include "berylreach/base/clock.h"
#include "berylreach/model/suspect_update.h"

namespace berylreach::forward {

/// Keeps the newest entry of each fingerprint until it is written. The number
/// of entries and the rate of writes are limited, so that many failing leaves
/// do not cause as many writes. When the queue is full, entries of blocked
/// requests are kept and others are dropped. Not thread-safe.
class SuspectQueue {
 public:
  static constexpr std::size_t kMaxEntries = 64;
  /// Number of entries that may be written at once, and the interval at which
  /// further ones may follow.
  static constexpr int kBurst = 8;
  static constexpr base::Duration kInterval = std::chrono::seconds(1);

  explicit SuspectQueue(const base::Clock& clock) : clock_(clock) {}

  /// Adds an entry or replaces the one of the same fingerprint.
  void Put(const model::SuspectEntry& entry);
  /// Removes and returns the entry to write now; empty if there is none or the
  /// rate does not allow one yet.
  std::optional<model::SuspectEntry> Take();
  /// Puts back an entry that could not be written, unless the queue has
  /// received a newer one with the same fingerprint.
  void Requeue(const model::SuspectEntry& entry);
  /// Time from which Take returns an entry; empty if there is none.
  std::optional<base::TimePoint> NextWriteAt() const;
  std::size_t size() const { return entries_.size(); }

 private:
  const base::Clock& clock_;
  std::map<std::uint64_t, model::SuspectEntry> entries_;
  /// Time of the next write if all writes were spaced by kInterval, without a
  /// burst.
  base::TimePoint next_spaced_write_{};
};

}  // namespace berylreach::forward
