// Identity of a process or of one of its sources of ids.
#pragma once

#include <cstdint>
#include <random>

namespace berylreach::host {

/// A random number that is not 0, which means that there is no incarnation.
inline std::uint64_t RandomIncarnation() {
  std::random_device device;
  return ((std::uint64_t{device()} << 32) | device()) | 1;
}

}  // namespace berylreach::host
