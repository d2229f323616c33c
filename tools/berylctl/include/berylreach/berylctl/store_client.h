// Client of the platform's key-value store.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "berylreach/berylctl/http_client.h"
#include "berylreach/berylctl/result.h"

namespace berylreach::berylctl {

/// The value of a key, with its revision.
struct StoreValue {
  std::string bytes;
  /// 0 if the key does not exist.
  std::uint64_t revision = 0;
};

/// Outcome of a compare-and-swap.
enum class SwapOutcome : std::uint8_t {
  kApplied,
  kConflict,  ///< The key has another revision.
  kUnknown,   ///< No valid response; the write may have been applied.
};

/// Reads and writes keys over the HTTP API of the Consul KV store
/// (docs/design.md, section 4.1).
class StoreClient {
 public:
  /// `address` is "IP:port".
  StoreClient(HttpClient& http, std::string address);

  /// Reads the value of `key`. The value may be stale, and has revision 0 if
  /// the key does not exist. Fails with kStoreUnreachable if the store does not
  /// respond or responds with an error.
  Result<StoreValue> Read(std::string_view key);

  /// Writes `value` if `key` has `revision`; revision 0 creates the key.
  SwapOutcome CompareAndSwap(std::string_view key, std::string value,
                             std::uint64_t revision);

 private:
  HttpClient& http_;
  std::string address_;
};

}  // namespace berylreach::berylctl
