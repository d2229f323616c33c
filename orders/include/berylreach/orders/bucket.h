// Distribution of orders over journals.
#pragma once

#include <cstdint>
#include <string_view>

#include "berylreach/model/names.h"

namespace berylreach::orders {

/// Number of order journals of an environment. Part of the stored format.
inline constexpr std::uint32_t kBucketCount = 16;

/// Journal of the order `key` of `service`, in [0, kBucketCount).
std::uint32_t BucketOf(const model::ServiceName& service, std::string_view key);

}  // namespace berylreach::orders
