// Helpers to write JSON text.
#include "json_output.h"

#include <array>
#include <cinttypes>
#include <cstdio>

namespace berylreach::config {

std::string Quote(std::string_view text) {
  return json::serialize(json::string_view(text.data(), text.size()));
}

std::string ToHex(std::uint64_t value) {
  std::array<char, 17> text{};
  std::snprintf(text.data(), text.size(), "%016" PRIx64, value);
  return std::string(text.data());
}

std::int64_t ToUnixMs(std::chrono::system_clock::time_point at) {
  return std::chrono::floor<std::chrono::milliseconds>(at.time_since_epoch())
      .count();
}

json::array ToJson(const std::vector<model::Holding>& holdings) {
  json::array result;
  result.reserve(holdings.size());
  for (const model::Holding& holding : holdings) {
    result.push_back({{"version", holding.version},
                      {"shard", holding.shard},
                      {"shard_count", holding.shard_count}});
  }
  return result;
}

}  // namespace berylreach::config
