// Counters of an entry host's admission control.
#pragma once

#include <cstdint>

namespace berylreach::limits {

/// Numbers of caller requests since the host started.
struct AdmissionCounters {
  std::uint64_t admitted = 0;
  std::uint64_t refused = 0;
  std::uint64_t completed = 0;

  friend bool operator==(const AdmissionCounters&,
                         const AdmissionCounters&) = default;
};

}  // namespace berylreach::limits
