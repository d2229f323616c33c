// Divides in proportion to the sizes; the seed rotates the remainder.
#include "berylreach/forward/allowance.h"

#include <algorithm>
#include <numeric>

namespace berylreach::forward {

std::vector<std::size_t> DivideAllowance(std::size_t allowed,
                                         const std::vector<std::size_t>& sizes,
                                         std::uint64_t seed) {
  std::vector<std::size_t> shares(sizes.size(), 0);
  const std::size_t total =
      std::accumulate(sizes.begin(), sizes.end(), std::size_t{0});
  if (total == 0) return shares;
  std::size_t left = std::min(allowed, total);
  const std::size_t divided = left;
  for (std::size_t i = 0; i < sizes.size(); ++i) {
    shares[i] = divided * sizes[i] / total;
    left -= shares[i];
  }
  // The remainder is smaller than the number of groups, so one pass distributes
  // all of it.
  for (std::size_t i = 0; i < sizes.size() && left > 0; ++i) {
    const std::size_t group = (seed + i) % sizes.size();
    if (shares[group] >= sizes[group]) continue;
    ++shares[group];
    --left;
  }
  return shares;
}

}  // namespace berylreach::forward
