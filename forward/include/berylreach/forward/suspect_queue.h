// Queue of quarantine entries that are to be passed to other hosts, through the
// store or directly.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

#include "berylreach/base/clock.h"
#include "berylreach/model/suspect_update.h"

namespace berylreach::forward {

/// Keeps the newest entry of each fingerprint until Take returns it, to be
/// written to the store or sent to other hosts. The number of entries and the
/// rate of Take are limited, so that many failing leaves do not cause as many
/// writes or notifications. When the queue is full, an entry with a new
/// fingerprint is dropped, unless it is of a blocked request and can replace
/// one of a request that is not blocked. Not thread-safe.
class SuspectQueue {
 public:
  static constexpr std::size_t kMaxEntries = 64;
  /// Number of entries that Take may return at once, and the interval at which
  /// further ones may follow.
  static constexpr int kBurst = 8;
  static constexpr base::Duration kInterval = std::chrono::seconds(1);

  explicit SuspectQueue(const base::Clock& clock) : clock_(clock) {}

  /// Adds an entry or replaces the one of the same fingerprint.
  void Put(const model::SuspectEntry& entry);
  /// Removes and returns the next entry, those of blocked requests first; empty
  /// if there is none or the rate does not allow one yet.
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
  /// Time from which Take could return the next entry if all entries were
  /// spaced by kInterval, without a burst.
  base::TimePoint next_spaced_write_{};
};

}  // namespace berylreach::forward
