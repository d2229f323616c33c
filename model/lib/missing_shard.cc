// Names of the reasons for missing shards in answers to callers.
#include "berylreach/model/missing_shard.h"

namespace berylreach::model {

std::string_view ToString(MissingReason reason) {
  switch (reason) {
    case MissingReason::kNoReplica:
      return "no_replica";
    case MissingReason::kTimedOut:
      return "timed_out";
    case MissingReason::kOverloaded:
      return "overloaded";
    case MissingReason::kFailed:
      return "failed";
    case MissingReason::kVersionGone:
      return "version_gone";
  }
  return "unknown";
}

}  // namespace berylreach::model
