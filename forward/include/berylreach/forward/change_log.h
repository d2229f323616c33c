// Recent changes of the deployment's records in the store, kept for followers:
// hosts that read the records from this host instead of the store.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

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

  friend bool operator==(const ChangeSet&, const ChangeSet&) = default;
};

/// Keeps all records and recent changes of bounded number and size. Not
/// thread-safe.
class ChangeLog {
 public:
  /// Replaces all records by a complete listing at `position`. If the era of
  /// the store has risen, only the differences count as changes, since a return
  /// of the store from a copy changes few records.
  void Reset(std::map<std::string, std::string> records,
             StorePosition position);
  /// Applies the changes that lead to `position`.
  void Append(const std::vector<RecordChange>& changes, StorePosition position);

  /// Returns the changes that a view at `view` lacks, or all records if these
  /// changes are no longer kept. Empty if it lacks none, if it is from a later
  /// era, or if Reset has not been called yet.
  std::optional<ChangeSet> Since(StorePosition view) const;

  StorePosition position() const { return position_; }

 private:
  struct LoggedChange {
    StorePosition position;
    RecordChange change;
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
};

}  // namespace berylreach::forward
