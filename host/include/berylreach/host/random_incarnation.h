// Random incarnation numbers, which identify a process or one of its id
// generators.
#pragma once

#include <cstdint>
#include <random>

namespace berylreach::host {

/// Returns a random nonzero number; 0 means that there is no incarnation.
inline std::uint64_t RandomIncarnation() {
  std::random_device device;
  return ((std::uint64_t{device()} << 32) | device()) | 1;
}

}  // namespace berylreach::host
