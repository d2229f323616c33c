// The Release messages that have arrived.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <utility>

#include "berylreach/model/departed.h"
#include "berylreach/model/head_record.h"
#include "berylreach/model/member.h"
#include "berylreach/model/names.h"
#include "berylreach/model/release.h"

namespace berylreach::membership {

/// Keeps the newest Release of each incarnation of each host.
class ReleaseTable {
 public:
  /// Records a Release; returns false if it repeats or precedes the one held.
  bool Record(const model::HostName& host, std::uint64_t incarnation,
              const model::Release& release);

  /// Records a Release that another host passed on. It may be older than one
  /// of the same epoch that came directly, which it then does not replace.
  void RecordRelayed(const model::HostName& host, std::uint64_t incarnation,
                     const model::Release& release);

  /// The newest Release of `member`; null if none has arrived.
  const model::Release* Find(const model::Member& member) const;

  /// Whether `member` has sent a Release for `epoch` or later.
  bool ReachedEpoch(const model::Member& member, std::uint64_t epoch) const;

  /// Whether `member` has sent a Release for exactly `epoch` without `leaf`.
  bool Released(const model::Member& member, std::uint64_t epoch,
                const model::LeafName& leaf) const;

  /// Forgets hosts that `record` does not name, unless they are at a newer
  /// epoch.
  void Prune(const model::HeadRecord& record);

 private:
  std::map<std::pair<model::HostName, std::uint64_t>, model::Release> releases_;
};

}  // namespace berylreach::membership
