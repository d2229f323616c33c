// The waits before work on gained leaves.
#pragma once

#include <cstdint>
#include <set>
#include <vector>

#include "berylreach/base/clock.h"
#include "berylreach/membership/departed_fences.h"
#include "berylreach/membership/release_table.h"
#include "berylreach/model/head_record.h"
#include "berylreach/model/names.h"

namespace berylreach::membership {

/// Decides which owned leaves this host may work on.
class TakeoverTracker {
 public:
  /// `releases` and `fences` must outlive this object.
  TakeoverTracker(model::HostName self, const ReleaseTable& releases,
                  const DepartedFences& fences)
      : self_(std::move(self)), releases_(releases), fences_(fences) {}

  /// Sets the leaves that this host owns at `epoch`. Leaves owned and complete
  /// before stay complete.
  void SetOwned(std::uint64_t epoch,
                const std::vector<model::LeafName>& leaves);

  /// Forgets all leaves; called when this host is not a member.
  void Clear();

  /// Ends the waits that are satisfied and returns their leaves.
  std::vector<model::LeafName> Advance(const model::HeadRecord& record,
                                       base::TimePoint now);

  /// Whether the wait for `leaf` has ended; `epoch` is the current epoch.
  bool Complete(std::uint64_t epoch, const model::LeafName& leaf) const;

 private:
  bool CanTakeOver(const model::LeafName& leaf, const model::HeadRecord& record,
                   base::TimePoint now) const;

  model::HostName self_;
  const ReleaseTable& releases_;
  const DepartedFences& fences_;
  std::uint64_t owned_epoch_ = 0;
  std::set<model::LeafName> waiting_;
  std::set<model::LeafName> complete_;
};

}  // namespace berylreach::membership
