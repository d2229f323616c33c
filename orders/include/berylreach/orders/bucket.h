// Assignment of orders to buckets, each with its own journal.
#pragma once

#include <cstdint>
#include <string_view>

#include "berylreach/model/names.h"

namespace berylreach::orders {

/// Number of order journals of an environment. Part of the stored format: with
/// another value, records of earlier orders would not be found.
inline constexpr std::uint32_t kBucketCount = 16;

/// The bucket of the order `key` of `service`, in [0, kBucketCount).
std::uint32_t BucketOf(const model::ServiceName& service, std::string_view key);

}  // namespace berylreach::orders
