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

namespace berylreach::forward {

/// A change of one record: its new value, or no value if it was deleted.
struct RecordChange {
  std::string key;
  std::optional<std::string> value;

  friend bool operator==(const RecordChange&, const RecordChange&) = default;
};

/// The changes that bring a follower from its revision up to `revision`.
struct ChangeSet {
  /// Revision of the store that these changes lead to.
  std::uint64_t revision = 0;
  /// Whether `changes` lists all records; the follower then drops every record
  /// that it does not list.
  bool is_full_listing = false;
  std::vector<RecordChange> changes;

  friend bool operator==(const ChangeSet&, const ChangeSet&) = default;
};

/// Keeps all records and a bounded number of recent changes. Not thread-safe.
class ChangeLog {
 public:
  /// Replaces all records by a complete listing at `revision`.
  void Reset(std::map<std::string, std::string> records,
             std::uint64_t revision);
  /// Applies the changes that lead to `revision`.
  void Append(const std::vector<RecordChange>& changes, std::uint64_t revision);

  /// Returns the changes after `revision`, or all records if these changes are
  /// no longer kept. Empty if nothing has changed or Reset has not been called
  /// yet.
  std::optional<ChangeSet> Since(std::uint64_t revision) const;

  std::uint64_t revision() const { return revision_; }

 private:
  struct LoggedChange {
    std::uint64_t revision = 0;
    RecordChange change;
  };

  std::map<std::string, std::string> records_;
  std::deque<LoggedChange> recent_;
  /// Changes up to this revision are no longer in recent_, only in records_.
  std::uint64_t discarded_through_ = 0;
  std::uint64_t revision_ = 0;
};

}  // namespace berylreach::forward
