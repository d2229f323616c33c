// What other hosts must still be told of requests that end their leaves.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

#include "berylreach/base/clock.h"
#include "berylreach/model/suspect_update.h"

namespace berylreach::forward {

/// Holds the newest entry of each fingerprint until it is written, and bounds
/// how many are held and how fast they are written, so that a storm of failing
/// leaves does not become one of writes. Blocked requests are kept when others
/// have to be dropped. Not thread-safe.
class SuspectQueue {
 public:
  static constexpr std::size_t kMaxEntries = 64;
  /// Entries that are written at once, and the pause between further ones.
  static constexpr int kBurst = 8;
  static constexpr base::Duration kInterval = std::chrono::seconds(1);

  explicit SuspectQueue(const base::Clock& clock) : clock_(clock) {}

  void Put(const model::SuspectEntry& entry);
  /// Takes out the entry to write now; nothing if there is none or it is too
  /// early.
  std::optional<model::SuspectEntry> Take();
  /// The entry was not written. A newer one of the same request replaces it.
  void Requeue(const model::SuspectEntry& entry);
  /// When Take may return an entry; nothing if there is none.
  std::optional<base::TimePoint> NextAt() const;
  std::size_t size() const { return entries_.size(); }

 private:
  const base::Clock& clock_;
  std::map<std::uint64_t, model::SuspectEntry> entries_;
  /// When the rate alone would allow the next entry.
  base::TimePoint due_{};
};

}  // namespace berylreach::forward
