// The status that a leaf reports about itself.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "berylreach/config/parsed.h"
#include "berylreach/model/holding.h"
#include "berylreach/model/names.h"

namespace berylreach::config {

/// Answer of a leaf to `GET /v1/status`.
struct LeafStatus {
  model::LeafName leaf;
  std::uint64_t incarnation = 0;
  bool draining = false;
  std::vector<model::Holding> holdings;

  friend bool operator==(const LeafStatus&, const LeafStatus&) = default;
};

/// JSON body of a leaf status.
std::string EncodeLeafStatus(const LeafStatus& status);

/// Reads the form of EncodeLeafStatus; the incarnation may also be a number.
/// Unknown members are ignored.
Parsed<LeafStatus> ParseLeafStatus(std::string_view body);

}  // namespace berylreach::config
