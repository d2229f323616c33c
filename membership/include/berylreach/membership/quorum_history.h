// Witness quorums of recent epochs.
#pragma once

#include <cstdint>
#include <map>
#include <utility>

#include "berylreach/model/head_record.h"
#include "berylreach/model/member.h"
#include "berylreach/model/names.h"

namespace berylreach::membership {

/// Computes the minimum number of acknowledgements that a member needs to
/// extend its lease, over all epochs that it may be at. A member that lags
/// behind may extend its lease by the smaller quorum of an earlier epoch.
class QuorumHistory {
 public:
  /// Records an adopted epoch.
  void StartEpoch(const model::HeadRecord& record);

  /// Records that a message from `host` named `epoch`, so that the host is at
  /// that epoch or a later one.
  void ConfirmEpoch(const model::HostName& host, std::uint64_t incarnation,
                    std::uint64_t epoch);

  /// The minimum quorum of all epochs from the last one confirmed for `member`
  /// up to the current one; 1 if the quorum of any of them is unknown.
  std::uint32_t MinimumQuorum(const model::Member& member) const;

 private:
  using Key = std::pair<model::HostName, std::uint64_t>;

  /// Quorum of each recent epoch.
  std::map<std::uint64_t, std::uint32_t> quorums_;
  /// Latest epoch confirmed for each incarnation of a host.
  std::map<Key, std::uint64_t> confirmed_;
};

}  // namespace berylreach::membership
