// What a fake leaf records about one call that it ran.
#pragma once

#include <string>

#include "berylreach/base/clock.h"
#include "berylreach/model/call_id.h"
#include "berylreach/model/names.h"
#include "berylreach/model/request_kind.h"

namespace berylreach::testing {

/// One call that started on a leaf.
struct LeafRun {
  base::TimePoint at;
  model::LeafName leaf;
  model::ServiceName service;
  model::RequestKind kind = model::RequestKind::kQuery;
  std::string key;
  std::string payload;
};

}  // namespace berylreach::testing
