// The Release messages received from other hosts.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <utility>

#include "berylreach/model/head_record.h"
#include "berylreach/model/member.h"
#include "berylreach/model/names.h"
#include "berylreach/model/release.h"
#include "berylreach/model/removed_host.h"

namespace berylreach::membership {

/// Keeps the newest Release of each incarnation of each host.
class ReleaseTable {
 public:
  /// Records a Release; returns false if it equals the recorded one or is of an
  /// earlier epoch.
  bool Record(const model::HostName& host, std::uint64_t incarnation,
              const model::Release& release);

  /// Records a Release that another host relayed. Of two Releases of the same
  /// epoch the one with fewer held leaves is kept, since a relayed one may be
  /// older than one that was received directly.
  void RecordRelayed(const model::HostName& host, std::uint64_t incarnation,
                     const model::Release& release);

  /// The newest Release of `member`; null if none was received.
  const model::Release* Find(const model::Member& member) const;

  /// Whether `member` has sent a Release for `epoch` or later.
  bool ReachedEpoch(const model::Member& member, std::uint64_t epoch) const;

  /// Whether the newest Release of `member` is for exactly `epoch` and does not
  /// name `leaf` as held.
  bool Released(const model::Member& member, std::uint64_t epoch,
                const model::LeafName& leaf) const;

  /// Drops the Releases of incarnations that `record` does not name, unless
  /// they are for a later epoch.
  void Prune(const model::HeadRecord& record);

 private:
  std::map<std::pair<model::HostName, std::uint64_t>, model::Release> releases_;
};

}  // namespace berylreach::membership
