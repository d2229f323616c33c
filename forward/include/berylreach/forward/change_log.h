// Recent changes of the deployment's records in the store, kept for followers:
// hosts that read the records from this host instead of the store.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "berylreach/base/clock.h"
#include "berylreach/forward/store_position.h"

namespace berylreach::forward {

/// A change of one record: its new value, or no value if it was deleted.
struct RecordChange {
  std::string key;
  std::optional<std::string> value;

  friend bool operator==(const RecordChange&, const RecordChange&) = default;
};

/// The changes that bring a follower from its view up to `position`.
struct ChangeSet {
  /// Position of the store that these changes lead to.
  StorePosition position;
  /// Whether `changes` lists all records; the follower then drops every record
  /// that it does not list.
  bool is_full_listing = false;
  std::vector<RecordChange> changes;
  /// The sender's view holds all changes that the store acknowledged until this
  /// time after the arrival of the poll; negative for a time before it, and
  /// empty if the sender does not state it.
  std::optional<std::chrono::milliseconds> current_after_arrival;
  /// Time after the arrival of the poll, as above: the store acknowledged the
  /// changes after it, whatever has disturbed the sender. Empty if the sender
  /// does not know it.
  std::optional<std::chrono::milliseconds> changes_after_arrival;
  /// Time for which the sender may have held the poll back, as the poll asked;
  /// empty if the sender is of a build that does not heed what polls ask.
  std::optional<std::chrono::milliseconds> poll_wait;

  friend bool operator==(const ChangeSet&, const ChangeSet&) = default;
};

/// What a follower has: its view, and the latest era of the store that it has
/// heard of, which may be later than that of the view.
struct FollowerState {
  StorePosition view;
  std::uint64_t known_era = 0;

  friend bool operator==(const FollowerState&, const FollowerState&) = default;
};

/// Keeps all records and recent changes of bounded number and size. Not
/// thread-safe.
class ChangeLog {
 public:
  /// Replaces all records by a complete listing at `position`. If the era of
  /// the store has risen, only the differences count as changes, since a return
  /// of the store from a copy changes few records.
  /// The store acknowledged what is new after `acknowledged_after`.
  void Reset(std::map<std::string, std::string> records, StorePosition position,
             base::TimePoint acknowledged_after = {});
  /// Applies the changes that lead to `position`, which the store acknowledged
  /// after `acknowledged_after`.
  void Append(const std::vector<RecordChange>& changes, StorePosition position,
              base::TimePoint acknowledged_after = {});

  /// Returns the changes that a view at `view` lacks, or all records if these
  /// changes are no longer kept. Empty if it lacks none, if it is from a later
  /// era, or if Reset has not been called yet.
  std::optional<ChangeSet> Since(StorePosition view) const;

  /// Returns the time after which the store acknowledged the changes that Since
  /// returns; empty if they are no longer kept.
  std::optional<base::TimePoint> AcknowledgedAfter(StorePosition view) const;

  /// Same as Since, but empty if the changes belong to an era that the follower
  /// knows to be over, since these would be useless to it.
  std::optional<ChangeSet> ChangesFor(const FollowerState& follower) const;

  /// Returns the answer that there are no changes; empty if this log is behind
  /// the follower and cannot say so.
  std::optional<ChangeSet> NoChangesFor(const FollowerState& follower) const;

  /// Whether the follower has heard of a later era than this log.
  bool IsBehind(const FollowerState& follower) const {
    return position_.era < follower.known_era;
  }

  StorePosition position() const { return position_; }

 private:
  struct LoggedChange {
    StorePosition position;
    RecordChange change;
    base::TimePoint acknowledged_after{};
  };

  /// Returns the changes that lead from records_ to `records`.
  std::vector<RecordChange> ChangesTo(
      const std::map<std::string, std::string>& records) const;
  /// Whether the kept changes continue from `view`.
  bool ContinuesFrom(StorePosition view) const;

  std::map<std::string, std::string> records_;
  std::deque<LoggedChange> recent_;
  /// Size of the keys and values in recent_.
  std::size_t recent_bytes_ = 0;
  /// Changes up to this position are no longer in recent_, only in records_.
  StorePosition discarded_through_;
  StorePosition position_;
  /// The last position of the era before the present one. A view of that era
  /// and a later revision has changes that this log has never had, and that the
  /// store has lost.
  StorePosition end_of_former_era_;
  /// The first position of the present era that this log has had. The changes
  /// that lead there start from the former era, so they are not all that a view
  /// of the present era lacks.
  StorePosition start_of_era_;
};

}  // namespace berylreach::forward
