// Hashes of requests and leaves, and the choice of arbiters.
#include "berylreach/quarantine/fingerprint.h"

#include <string>

#include "berylreach/base/hash.h"
#include "berylreach/base/rendezvous.h"

namespace berylreach::quarantine {
namespace {

constexpr std::string_view kArbiterKey = "suspect:";

}  // namespace

std::uint64_t FingerprintOf(const model::CallerRequest& request) {
  std::string text = request.service.value;
  // The separators keep adjacent fields from running together.
  text.push_back('\0');
  text.push_back(static_cast<char>('0' + static_cast<int>(request.kind)));
  text.push_back('\0');
  text.append(request.payload);
  if (request.kind == model::RequestKind::kLookup) {
    text.push_back('\0');
    text.append(request.key);
  }
  return base::Hash64(text);
}

std::uint64_t LeafIdOf(const model::LeafName& leaf) {
  const std::uint64_t hash = base::Hash64(leaf.value);
  return hash == 0 ? 1 : hash;
}

const model::Member* ArbiterOf(std::uint64_t fingerprint,
                               const std::vector<model::Member>& members) {
  const std::string key =
      std::string(kArbiterKey) + std::to_string(fingerprint);
  const model::Member* best = nullptr;
  std::uint64_t best_weight = 0;
  for (const model::Member& member : members) {
    const std::uint64_t weight = base::RendezvousWeight(key, member.host.value);
    // Equal weights are decided by name, so that all hosts agree.
    const bool wins = best == nullptr || weight > best_weight ||
                      (weight == best_weight && member.host < best->host);
    if (!wins) continue;
    best = &member;
    best_weight = weight;
  }
  return best;
}

}  // namespace berylreach::quarantine
