// Recent changes of the deployment's records, for hosts that follow this one.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace berylreach::forward {

/// One change of a record: its new value, or nothing if it was deleted.
struct RecordChange {
  std::string key;
  std::optional<std::string> value;

  friend bool operator==(const RecordChange&, const RecordChange&) = default;
};

/// What a follower at some revision needs to reach another one.
struct ChangeSet {
  /// Revision of the store that the changes lead to.
  std::uint64_t revision = 0;
  /// The changes are all records there are, and others are gone.
  bool whole = false;
  std::vector<RecordChange> changes;

  friend bool operator==(const ChangeSet&, const ChangeSet&) = default;
};

/// Keeps all records and the last changes. Not thread-safe.
class ChangeLog {
 public:
  /// A complete listing at `revision`.
  void Reset(std::map<std::string, std::string> records,
             std::uint64_t revision);
  /// The changes that lead to `revision`.
  void Append(const std::vector<RecordChange>& changes, std::uint64_t revision);

  /// What changed after `revision`, or all records if that is not known any
  /// more. Nothing if there is no change or no listing yet.
  std::optional<ChangeSet> Since(std::uint64_t revision) const;

  std::uint64_t revision() const { return revision_; }

 private:
  struct Entry {
    std::uint64_t revision = 0;
    RecordChange change;
  };

  std::map<std::string, std::string> records_;
  std::deque<Entry> recent_;
  /// Changes up to this revision are only in records_.
  std::uint64_t discarded_through_ = 0;
  std::uint64_t revision_ = 0;
};

}  // namespace berylreach::forward
