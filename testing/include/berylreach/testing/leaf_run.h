// Record of a call that a fake leaf ran.
#pragma once

#include <string>

#include "berylreach/base/clock.h"
#include "berylreach/model/call_id.h"
#include "berylreach/model/names.h"
#include "berylreach/model/request_kind.h"

namespace berylreach::testing {

/// A call that started to run on a leaf.
struct LeafRun {
  base::TimePoint at;
  model::LeafName leaf;
  model::ServiceName service;
  model::RequestKind kind = model::RequestKind::kQuery;
  std::string key;
  std::string payload;
};

}  // namespace berylreach::testing
