// The platform's key-value service.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "berylreach/berylctl/http_client.h"
#include "berylreach/berylctl/result.h"

namespace berylreach::berylctl {

/// A value with its revision.
struct StoreValue {
  std::string bytes;
  /// Revision 0 stands for an absent key.
  std::uint64_t revision = 0;
};

/// How a compare-and-swap ended.
enum class SwapOutcome : std::uint8_t {
  kApplied,
  kConflict,  ///< The key has another revision.
  kUnknown,   ///< No answer: the write may have taken effect.
};

/// Speaks the Consul KV form (design page, section 4.1).
class StoreClient {
 public:
  /// `address` is "IP:port".
  StoreClient(HttpClient& http, std::string address);

  /// The value of `key`, with revision 0 if it is absent. The value may be
  /// stale. Fails with kStoreUnreachable.
  Result<StoreValue> Read(std::string_view key);

  /// Writes `value` if `key` has `revision`; 0 creates the key.
  SwapOutcome CompareAndSwap(std::string_view key, std::string value,
                             std::uint64_t revision);

 private:
  HttpClient& http_;
  std::string address_;
};

}  // namespace berylreach::berylctl
