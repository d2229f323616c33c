// Route tables of the last seconds.
#include "berylreach/forward/table_history.h"

#include <chrono>
#include <utility>

namespace berylreach::forward {
namespace {

/// Time in which all hosts that reach the store have a new configuration.
constexpr std::chrono::milliseconds kKeepReplaced{5000};

/// Replaced tables that are kept, whatever their age.
constexpr std::size_t kMostReplaced = 4;

}  // namespace

bool RouteTableHistory::Adopt(Configuration configuration) {
  if (present_ != nullptr &&
      configuration.version <= present_->configuration().version)
    return false;
  if (present_ != nullptr)
    replaced_.push_front({std::move(present_), clock_.Now()});
  present_ = std::make_shared<RouteTable>(std::move(configuration));
  while (replaced_.size() > kMostReplaced) replaced_.pop_back();
  while (!replaced_.empty() && IsOld(replaced_.back())) replaced_.pop_back();
  return true;
}

bool RouteTableHistory::IsOld(const Replaced& replaced) const {
  return clock_.Now() - replaced.at >= kKeepReplaced;
}

}  // namespace berylreach::forward
