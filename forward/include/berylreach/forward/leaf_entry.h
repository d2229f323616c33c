// What service discovery says of one leaf.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

namespace berylreach::forward {

/// One incarnation of a leaf.
struct LeafEntry {
  /// Names this incarnation.
  std::string id;
  std::string service;
  /// "IP:port".
  std::string address;
  std::string zone;
  std::size_t slots = 1;
  bool draining = false;
  /// When the process started, by its own clock; 0 if it does not say. A leaf
  /// may start again under its former id.
  std::int64_t started_unix_ms = 0;
  /// How much longer the leaf stayed cold when the entry was written.
  std::chrono::milliseconds cold_left{0};

  friend bool operator==(const LeafEntry&, const LeafEntry&) = default;
};

}  // namespace berylreach::forward
