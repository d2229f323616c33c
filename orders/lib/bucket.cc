// Assignment of orders to buckets.
#include "berylreach/orders/bucket.h"

#include <string>

#include "berylreach/base/hash.h"

namespace berylreach::orders {

std::uint32_t BucketOf(const model::ServiceName& service,
                       std::string_view key) {
  std::string bytes = service.value;
  bytes.push_back('\0');
  bytes.append(key);
  return static_cast<std::uint32_t>(base::Hash64(bytes) % kBucketCount);
}

}  // namespace berylreach::orders
