// Limits on the sizes and values of parsed inputs.
#pragma once

#include <cstddef>
#include <cstdint>

namespace berylreach::config {

/// Maximum size of a whole document.
inline constexpr std::size_t kMaxDocumentBytes = 8'000'000;

/// Maximum size of a value in the store, which accepts values of up to 1 MB.
/// Limits document parts, head records and order journals.
inline constexpr std::size_t kMaxStoreValueBytes = 1'000'000;

/// Maximum size of a body received from a caller.
inline constexpr std::size_t kMaxCallerBodyBytes = 65'536;

/// Maximum size of a body received from a leaf.
inline constexpr std::size_t kMaxLeafBodyBytes = 1'048'576;

/// Maximum size of a status or timeline body received from a host.
inline constexpr std::size_t kMaxHostBodyBytes = 8'388'608;

/// Maximum size of the settings file of a host.
inline constexpr std::size_t kMaxSettingsBytes = 65'536;

/// Maximum nesting depth of arrays and objects in any parsed input.
inline constexpr std::size_t kMaxDepth = 32;

/// Maximum length of the name of an environment, deployment, region, zone,
/// host, service or leaf.
inline constexpr std::size_t kMaxNameBytes = 64;

/// Maximum length of a lookup key or an order key.
inline constexpr std::size_t kMaxKeyBytes = 256;

/// Maximum number of holdings that one leaf may report.
inline constexpr std::size_t kMaxHoldings = 10'000;

// Limits on the content of a document. kMaxConnections limits both the slots
// and the connections of a leaf.
inline constexpr std::size_t kMaxZones = 64;
inline constexpr std::size_t kMaxServices = 256;
inline constexpr std::size_t kMaxLeavesPerService = 20'000;
inline constexpr std::uint32_t kMaxShards = 10'000;
inline constexpr std::uint32_t kMaxPriority = 100;
inline constexpr std::uint32_t kMaxConnections = 10'000;

}  // namespace berylreach::config
