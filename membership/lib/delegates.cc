// Selection of the delegates by rendezvous weight.
#include "berylreach/membership/delegates.h"

#include <algorithm>
#include <cstdint>
#include <utility>

#include "berylreach/base/rendezvous.h"

namespace berylreach::membership {
namespace {

constexpr std::size_t kDelegates = 2;

}  // namespace

std::optional<std::size_t> DelegateRank(
    const std::vector<model::Member>& members,
    const std::vector<model::HostName>& suspects, const model::HostName& self) {
  using Weighted = std::pair<std::uint64_t, model::HostName>;
  std::vector<Weighted> weighted;
  for (const model::Member& member : members) {
    if (std::find(suspects.begin(), suspects.end(), member.host) !=
        suspects.end()) {
      continue;
    }
    weighted.emplace_back(base::RendezvousWeight("delegate", member.host.value),
                          member.host);
  }
  std::sort(weighted.begin(), weighted.end());
  const std::size_t count = std::min(weighted.size(), kDelegates);
  for (std::size_t rank = 0; rank < count; ++rank) {
    if (weighted[rank].second == self) return rank;
  }
  return std::nullopt;
}

}  // namespace berylreach::membership
