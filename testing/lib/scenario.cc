// State of one running Lua scenario.
#include "berylreach/testing/scenario.h"

#include <chrono>
#include <utility>

namespace berylreach::testing {
namespace {

// Invariants::Observe must be called at least every 50 ms.
constexpr std::chrono::milliseconds kObserveInterval{10};

}  // namespace

void Scenario::RunFor(base::Duration time) {
  RunUntil([] { return false; }, time);
}

bool Scenario::RunUntil(const std::function<bool()>& condition,
                        base::Duration limit) {
  const base::TimePoint end = world_.Now() + limit;
  while (!condition()) {
    if (world_.Now() >= end) return false;
    const auto step =
        std::min<base::Duration>(kObserveInterval, end - world_.Now());
    world_.RunFor(step);
    invariants_.Observe();
  }
  return true;
}

void Scenario::Submit(const model::Environment& environment, bool racing,
                      std::function<void(std::uint64_t)> written) {
  auto done = [this, environment,
               written = std::move(written)](std::uint64_t version) {
    invariants_.OnWritten(version);
    RecordZoneStates(environment, version);
    written(version);
  };
  if (racing) {
    world_.SubmitRacing(environment, std::move(done));
  } else {
    world_.SubmitLater(environment, std::move(done));
  }
}

void Scenario::RecordZoneStates(const model::Environment& environment,
                                std::uint64_t version) {
  for (const model::Zone& zone : environment.zones) {
    if (zone.state == model::ZoneState::kOutOfService) {
      invariants_.OnZoneRemovalStarted(zone.name.value);
      invariants_.OnZoneRemovalWritten(zone.name.value, version);
    } else {
      invariants_.OnZoneReturnStarted(zone.name.value);
    }
  }
}

void Scenario::SetLeaving(const std::set<std::string>& leaves) {
  for (const std::string& leaf : leaving_) {
    if (!leaves.contains(leaf)) invariants_.OnReturned(leaf);
  }
  for (const std::string& leaf : leaves) {
    if (!leaving_.contains(leaf)) invariants_.OnLeaving(leaf);
  }
  leaving_ = leaves;
  world_.SetLeaving(leaves);
}

}  // namespace berylreach::testing
