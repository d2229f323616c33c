// A call to the platform's key-value store.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace berylreach::model {

/// Kinds of store calls.
enum class StoreOperation : std::uint8_t {
  kRead,
  kWatch,  ///< A read that blocks until the key's revision differs from
           ///< `revision`.
  kCompareAndSwap,
};

/// One store call. Its result echoes `id`.
struct StoreRequest {
  std::uint64_t id = 0;
  StoreOperation operation = StoreOperation::kRead;
  std::string key;
  /// Value to write; compare-and-swap only.
  std::string value;
  /// Expected revision of a compare-and-swap (0 creates the key), or the last
  /// revision seen by a watch.
  std::uint64_t revision = 0;
  /// Maximum time for which a watch blocks.
  std::chrono::milliseconds max_wait{0};

  friend bool operator==(const StoreRequest&, const StoreRequest&) = default;
};

}  // namespace berylreach::model
