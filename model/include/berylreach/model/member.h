// A host in the membership record.
#pragma once

#include <cstdint>
#include <string>

#include "berylreach/model/names.h"

namespace berylreach::model {

/// One host process that is a member of the environment.
struct Member {
  HostName host;
  /// Drawn at random when the process starts.
  std::uint64_t incarnation = 0;
  ZoneName zone;
  std::string rpc_address;
  std::string http_address;

  // clang-tidy mistakes the 0 in the rewritten comparison for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const Member&, const Member&) = default;
};

}  // namespace berylreach::model
