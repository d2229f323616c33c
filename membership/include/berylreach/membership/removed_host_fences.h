// Fencing of removed hosts: when a host that left, was removed or was replaced
// can no longer work on leaves.
#pragma once

#include <cstdint>
#include <map>
#include <utility>

#include "berylreach/base/clock.h"
#include "berylreach/membership/release_table.h"
#include "berylreach/model/head_record.h"
#include "berylreach/model/names.h"
#include "berylreach/model/removed_host.h"

namespace berylreach::membership {

/// Decides when a removed host is fenced, that is, can no longer work on
/// leaves. It is fenced once it has released its leaves by a Release, or once
/// its last lease has expired. The lease can no longer be extended once the
/// host has sent a Release, was replaced by a new incarnation, or cannot get
/// acknowledgements from a quorum of witnesses.
class RemovedHostFences {
 public:
  /// `releases` must outlive this object.
  explicit RemovedHostFences(const ReleaseTable& releases)
      : releases_(releases) {}

  /// Records for each removed host of `record` since when it is known that
  /// the host has sent a Release or was replaced, and since when all members
  /// other than `self` are known to be at the epoch of the removal or later.
  void Update(const model::HeadRecord& record, const model::HostName& self,
              base::TimePoint now);

  /// Whether `entry` can be dropped from `record`: its host can no longer work
  /// on any leaf, and no other removed host can still hold a lease by its
  /// acknowledgements.
  bool Fenced(const model::RemovedHost& entry, const model::HeadRecord& record,
              base::TimePoint now) const;

  /// Whether the host of `entry`, which is in `record`, can no longer work on
  /// `leaf`.
  bool FencedFor(const model::LeafName& leaf, const model::RemovedHost& entry,
                 const model::HeadRecord& record, base::TimePoint now) const;

 private:
  using Key = std::pair<model::HostName, std::uint64_t>;

  bool SentRelease(const model::RemovedHost& entry) const;
  bool SentEmptyRelease(const model::RemovedHost& entry) const;
  /// Whether the host has sent a Release or was replaced so long ago that its
  /// own lease and all leases that it has acknowledged have expired.
  bool OwnAndGrantedLeasesExpired(const model::RemovedHost& entry,
                                  base::TimePoint now) const;
  /// Whether the last lease of the host has expired.
  bool LeaseExpired(const model::RemovedHost& entry,
                    const model::HeadRecord& record, base::TimePoint now) const;

  const ReleaseTable& releases_;
  std::map<Key, base::TimePoint> all_at_epoch_since_;
  std::map<Key, base::TimePoint> ended_since_;
};

}  // namespace berylreach::membership
