// Seeded random choices of the fakes.
#pragma once

#include <cstdint>
#include <random>

namespace berylreach::testing {

/// A generator whose values do not depend on the standard library's
/// distributions.
class Random {
 public:
  explicit Random(std::uint64_t seed) : engine_(seed) {}

  /// In [0, 1).
  double Unit() { return static_cast<double>(engine_() >> 11) * 0x1.0p-53; }
  /// In [0, bound); `bound` must not be 0.
  std::uint64_t Below(std::uint64_t bound) { return engine_() % bound; }
  bool Chance(double probability) { return Unit() < probability; }
  std::uint64_t Bits() { return engine_(); }

 private:
  std::mt19937_64 engine_;
};

}  // namespace berylreach::testing
