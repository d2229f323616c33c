// Witness quorums of recent epochs, and the epochs that members have confirmed.
#include "berylreach/membership/quorum_history.h"

#include <algorithm>
#include <cstddef>

#include "berylreach/membership/witness_set.h"

namespace berylreach::membership {
namespace {

// Epochs whose quorums are kept. A member that lags further behind is assumed
// to need one acknowledgement.
constexpr std::size_t kMaxEpochs = 256;

}  // namespace

void QuorumHistory::StartEpoch(const model::HeadRecord& record) {
  quorums_[record.epoch] = WitnessQuorum(record.members.size());
  if (quorums_.size() > kMaxEpochs) quorums_.erase(quorums_.begin());
  std::erase_if(confirmed_, [&](const auto& item) {
    const auto& [key, epoch] = item;
    return epoch < record.epoch &&
           FindMember(record.members, key.first, key.second) == nullptr;
  });
}

void QuorumHistory::ConfirmEpoch(const model::HostName& host,
                                 std::uint64_t incarnation,
                                 std::uint64_t epoch) {
  std::uint64_t& known = confirmed_[{host, incarnation}];
  known = std::max(known, epoch);
}

std::uint32_t QuorumHistory::MinimumQuorum(const model::Member& member) const {
  const auto confirmed = confirmed_.find({member.host, member.incarnation});
  if (confirmed == confirmed_.end() || quorums_.empty()) return 1;
  const std::uint64_t newest = quorums_.rbegin()->first;
  std::uint32_t minimum = quorums_.rbegin()->second;
  for (std::uint64_t epoch = confirmed->second; epoch < newest; ++epoch) {
    const auto quorum = quorums_.find(epoch);
    if (quorum == quorums_.end()) return 1;
    minimum = std::min(minimum, quorum->second);
  }
  return minimum;
}

}  // namespace berylreach::membership
