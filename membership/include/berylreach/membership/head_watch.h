// The watch of the head record by a delegate.
#pragma once

#include <cstdint>
#include <optional>

#include "berylreach/base/clock.h"
#include "berylreach/membership/action.h"
#include "berylreach/membership/backoff.h"
#include "berylreach/model/store_result.h"

namespace berylreach::membership {

/// Keeps one blocking read of the head record open.
class HeadWatch {
 public:
  explicit HeadWatch(std::uint64_t seed) : backoff_(seed) {}

  /// Whether a watch should be issued now.
  bool ShouldIssue(base::TimePoint now) const;

  /// Issues a watch that waits for a revision other than `revision`.
  void Issue(std::uint64_t id, std::uint64_t revision, base::TimePoint now,
             Actions& out);

  /// Processes the result of a watch; returns false if `id` is not the open
  /// watch. `newer` tells whether the result contained a newer record.
  bool OnResult(std::uint64_t id, model::StoreOutcome outcome, bool newer,
                base::TimePoint now);

  /// Whether `id` is the open watch.
  bool IsOpen(std::uint64_t id) const { return id_ == id; }

 private:
  Backoff backoff_;
  /// The open watch.
  std::optional<std::uint64_t> id_;
  base::TimePoint issued_ = base::TimePoint::min();
  base::TimePoint not_before_ = base::TimePoint::min();
};

}  // namespace berylreach::membership
