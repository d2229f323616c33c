// Memory for answers that are not complete yet.
#pragma once

#include <cstddef>

namespace berylreach::gateway {

/// Bytes that all connections of one kind together may hold of answers that
/// are still arriving. A peer that sends without end then ends its own
/// connection and not the process.
class ReceiveQuota {
 public:
  explicit ReceiveQuota(std::size_t limit) : left_(limit) {}

  /// Takes `bytes`; false if fewer are left, and none are taken.
  bool TryTake(std::size_t bytes) {
    if (bytes > left_) return false;
    left_ -= bytes;
    return true;
  }
  /// Gives back what was taken.
  void Return(std::size_t bytes) { left_ += bytes; }

  std::size_t left() const { return left_; }

 private:
  std::size_t left_;
};

}  // namespace berylreach::gateway
