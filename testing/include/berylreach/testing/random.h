// Seeded random numbers for the fakes and tests.
#pragma once

#include <cstdint>
#include <random>

namespace berylreach::testing {

/// A generator that gives the same values with each standard library, because
/// it does not use the distributions of the library.
class Random {
 public:
  explicit Random(std::uint64_t seed) : engine_(seed) {}

  /// A number in [0, 1).
  double Unit() { return static_cast<double>(engine_() >> 11) * 0x1.0p-53; }
  /// A number in [0, bound); `bound` must not be 0.
  std::uint64_t Below(std::uint64_t bound) { return engine_() % bound; }
  /// Returns true with the given probability.
  bool Chance(double probability) { return Unit() < probability; }
  /// 64 random bits.
  std::uint64_t Bits() { return engine_(); }

 private:
  std::mt19937_64 engine_;
};

}  // namespace berylreach::testing
