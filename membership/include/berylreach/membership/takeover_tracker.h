// Takeover of leaves whose ownership this host has gained. It is complete once
// the previous owners can no longer work on them.
#pragma once

#include <cstdint>
#include <set>
#include <vector>

#include "berylreach/base/clock.h"
#include "berylreach/membership/release_table.h"
#include "berylreach/membership/removed_host_fences.h"
#include "berylreach/model/head_record.h"
#include "berylreach/model/names.h"

namespace berylreach::membership {

/// Tracks the takeover of each owned leaf. It is complete once all other
/// members have released the leaf and all removed hosts are fenced for it.
class TakeoverTracker {
 public:
  /// `releases` and `fences` must outlive this object.
  TakeoverTracker(model::HostName self, const ReleaseTable& releases,
                  const RemovedHostFences& fences)
      : self_(std::move(self)), releases_(releases), fences_(fences) {}

  /// Sets the leaves that this host owns at `epoch`. Takeovers that were
  /// complete before stay complete.
  void SetOwned(std::uint64_t epoch,
                const std::vector<model::LeafName>& leaves);

  /// Drops all leaves; called when this host is no longer a member.
  void Clear();

  /// Completes the takeovers that can be completed now and returns their
  /// leaves.
  std::vector<model::LeafName> Advance(const model::HeadRecord& record,
                                       base::TimePoint now);

  /// Whether the takeover of `leaf` is complete; `epoch` is the current epoch.
  bool IsComplete(std::uint64_t epoch, const model::LeafName& leaf) const;

 private:
  bool CanTakeOver(const model::LeafName& leaf, const model::HeadRecord& record,
                   base::TimePoint now) const;

  model::HostName self_;
  const ReleaseTable& releases_;
  const RemovedHostFences& fences_;
  std::uint64_t owned_epoch_ = 0;
  std::set<model::LeafName> waiting_;
  std::set<model::LeafName> complete_;
};

}  // namespace berylreach::membership
