// Selection of witnesses by rendezvous weight, and lookup of members.
#include "berylreach/membership/witness_set.h"

#include <algorithm>
#include <utility>

#include "berylreach/base/rendezvous.h"
#include "berylreach/membership/constants.h"

namespace berylreach::membership {

std::vector<model::Member> WitnessesOf(
    const std::vector<model::Member>& members, const model::HostName& host) {
  std::vector<std::pair<std::uint64_t, const model::Member*>> weighted;
  for (const model::Member& member : members) {
    if (member.host == host) continue;
    weighted.emplace_back(base::RendezvousWeight(host.value, member.host.value),
                          &member);
  }
  std::sort(weighted.begin(), weighted.end(), [](const auto& a, const auto& b) {
    if (a.first != b.first) return a.first > b.first;
    return a.second->host < b.second->host;
  });
  if (weighted.size() > kMaxWitnesses) weighted.resize(kMaxWitnesses);
  std::vector<model::Member> witnesses;
  witnesses.reserve(weighted.size());
  for (const auto& [weight, member] : weighted) witnesses.push_back(*member);
  return witnesses;
}

std::uint32_t WitnessQuorum(std::size_t member_count) {
  const std::size_t others = member_count == 0 ? 0 : member_count - 1;
  const std::size_t witnesses = std::min(kMaxWitnesses, others);
  return static_cast<std::uint32_t>(witnesses / 2 + 1);
}

const model::Member* FindMember(const std::vector<model::Member>& members,
                                const model::HostName& host,
                                std::uint64_t incarnation) {
  const model::Member* member = FindMember(members, host);
  if (member == nullptr || member->incarnation != incarnation) return nullptr;
  return member;
}

const model::Member* FindMember(const std::vector<model::Member>& members,
                                const model::HostName& host) {
  const auto found =
      std::find_if(members.begin(), members.end(),
                   [&](const model::Member& m) { return m.host == host; });
  return found == members.end() ? nullptr : &*found;
}

}  // namespace berylreach::membership
