// Fencing of departed hosts.
#pragma once

#include <cstdint>
#include <map>
#include <utility>

#include "berylreach/base/clock.h"
#include "berylreach/membership/release_table.h"
#include "berylreach/model/departed.h"
#include "berylreach/model/head_record.h"
#include "berylreach/model/names.h"

namespace berylreach::membership {

/// Decides when a departed host can no longer work on leaves: by its own
/// Release, or once its last lease has lapsed. The lease can no longer be
/// extended once the host has released, has been replaced by a new incarnation,
/// or can have no witness majority.
class DepartedFences {
 public:
  /// `releases` must outlive this object.
  explicit DepartedFences(const ReleaseTable& releases) : releases_(releases) {}

  /// Notes from when on each departed entry had ended, and all other members of
  /// `record` were at its epoch or later.
  void Update(const model::HeadRecord& record, const model::HostName& self,
              base::TimePoint now);

  /// Whether `entry` can be dropped from `record`: it can no longer work on any
  /// leaf, and no other entry can still lease by its acknowledgements.
  bool Fenced(const model::Departed& entry, const model::HeadRecord& record,
              base::TimePoint now) const;

  /// Whether `entry` of `record` can no longer work on `leaf`.
  bool FencedFor(const model::LeafName& leaf, const model::Departed& entry,
                 const model::HeadRecord& record, base::TimePoint now) const;

 private:
  using Key = std::pair<model::HostName, std::uint64_t>;

  bool SentRelease(const model::Departed& entry) const;
  bool SentEmptyRelease(const model::Departed& entry) const;
  /// The entry has ended, and all leases that it held or acknowledged lapsed.
  bool EndedAndLapsed(const model::Departed& entry, base::TimePoint now) const;
  bool LeaseLapsed(const model::Departed& entry,
                   const model::HeadRecord& record, base::TimePoint now) const;

  const ReleaseTable& releases_;
  std::map<Key, base::TimePoint> all_at_epoch_since_;
  std::map<Key, base::TimePoint> ended_since_;
};

}  // namespace berylreach::membership
