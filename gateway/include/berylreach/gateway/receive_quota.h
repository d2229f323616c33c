// Memory limit for incomplete responses.
#pragma once

#include <cstddef>

namespace berylreach::gateway {

/// Limits the bytes of incomplete responses that all connections sharing the
/// quota may hold together. A peer that sends without end then loses its
/// connection, and the process does not run out of memory.
class ReceiveQuota {
 public:
  explicit ReceiveQuota(std::size_t limit) : available_(limit) {}

  /// Reserves `bytes`; if fewer are left, reserves nothing and returns false.
  bool TryTake(std::size_t bytes) {
    if (bytes > available_) return false;
    available_ -= bytes;
    return true;
  }
  /// Returns reserved bytes.
  void Return(std::size_t bytes) { available_ += bytes; }

  std::size_t available() const { return available_; }

 private:
  std::size_t available_;
};

}  // namespace berylreach::gateway
