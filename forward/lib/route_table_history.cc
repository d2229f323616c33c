// Replaces route tables and drops old ones.
#include "berylreach/forward/route_table_history.h"

#include <chrono>
#include <utility>

namespace berylreach::forward {
namespace {

/// Time within which all hosts that reach the store learn of a new
/// configuration.
constexpr std::chrono::milliseconds kReplacedTableLifetime{5000};

/// Maximum number of replaced tables that are kept.
constexpr std::size_t kMaxReplacedTables = 4;

}  // namespace

bool RouteTableHistory::Adopt(Configuration configuration) {
  if (current_ != nullptr &&
      configuration.version <= current_->configuration().version)
    return false;
  if (current_ != nullptr)
    replaced_.push_front({std::move(current_), clock_.Now()});
  current_ = std::make_shared<RouteTable>(std::move(configuration));
  while (replaced_.size() > kMaxReplacedTables) replaced_.pop_back();
  while (!replaced_.empty() && IsExpired(replaced_.back()))
    replaced_.pop_back();
  return true;
}

bool RouteTableHistory::IsExpired(const Replaced& replaced) const {
  return clock_.Now() - replaced.replaced_at >= kReplacedTableLifetime;
}

}  // namespace berylreach::forward
