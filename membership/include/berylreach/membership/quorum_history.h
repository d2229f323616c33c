// Witness quorums of recent epochs.
#pragma once

#include <cstdint>
#include <map>
#include <utility>

#include "berylreach/model/head_record.h"
#include "berylreach/model/member.h"
#include "berylreach/model/names.h"

namespace berylreach::membership {

/// Knows how few acknowledgements could give a member a lease in any epoch that
/// it may still be at. A member that lags by some epochs may lease with the
/// quorum of its own, smaller epoch.
class QuorumHistory {
 public:
  /// Records an adopted epoch.
  void StartEpoch(const model::HeadRecord& record);

  /// Records that a host was seen at `epoch`.
  void ConfirmEpoch(const model::HostName& host, std::uint64_t incarnation,
                    std::uint64_t epoch);

  /// The least quorum of all epochs from the last one confirmed by `member` up
  /// to the current one; 1 if any of them is unknown.
  std::uint32_t MinimumQuorum(const model::Member& member) const;

 private:
  using Key = std::pair<model::HostName, std::uint64_t>;

  std::map<std::uint64_t, std::uint32_t> quorums_;
  std::map<Key, std::uint64_t> confirmed_;
};

}  // namespace berylreach::membership
