// Selects and formats the metrics of the slowest leaves.
#include "berylreach/gateway/leaf_metrics.h"

#include <algorithm>
#include <chrono>
#include <string_view>
#include <utility>
#include <vector>

#include "label.h"

namespace berylreach::gateway {
namespace {

/// Bounds the number of labels.
constexpr std::size_t kMaxLeaves = 5;

}  // namespace

void AppendSlowestLeaves(const forward::LeafDirectory& directory,
                         base::TimePoint now, std::string& text) {
  std::vector<std::pair<double, const forward::LeafRecord*>> leaves;
  directory.ForEachListed([&](const forward::LeafRecord& leaf) {
    const double factor = leaf.LatencyFactor(now);
    if (factor > 1) leaves.emplace_back(factor, &leaf);
  });
  const std::size_t count = std::min(kMaxLeaves, leaves.size());
  std::partial_sort(
      leaves.begin(), leaves.begin() + static_cast<std::ptrdiff_t>(count),
      leaves.end(), [](const auto& a, const auto& b) {
        return a.first != b.first ? a.first > b.first
                                  : a.second->entry().id < b.second->entry().id;
      });
  leaves.resize(count);
  const auto append = [&text](std::string_view name,
                              const forward::LeafRecord& leaf, double value) {
    text.append(name).append("{service=\"");
    text.append(EscapeLabel(leaf.entry().service)).append("\",leaf=\"");
    text.append(EscapeLabel(leaf.entry().id)).append("\"} ");
    text.append(std::to_string(value)).append("\n");
  };
  for (const auto& [factor, leaf] : leaves) {
    append("berylreach_leaf_latency_factor", *leaf, factor);
    append("berylreach_leaf_latency_factor_age_seconds", *leaf,
           std::chrono::duration<double>(now - leaf->last_sample()).count());
  }
}

}  // namespace berylreach::gateway
