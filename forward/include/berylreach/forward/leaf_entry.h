// What service discovery lists about one leaf.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

namespace berylreach::forward {

/// The registration of one leaf incarnation in service discovery.
struct LeafEntry {
  /// Identifies the incarnation, together with `started_unix_ms`.
  std::string id;
  std::string service;
  /// "IP:port".
  std::string address;
  std::string zone;
  /// Version of the leaf's software; empty if the leaf does not state it.
  std::string version;
  std::size_t slots = 1;
  bool draining = false;
  /// Start time of the process in Unix milliseconds by its own clock; 0 if the
  /// leaf does not state it. A restarted leaf may use its former id again.
  std::uint64_t started_unix_ms = 0;
  /// Number of the entry among those that the incarnation has written; 0 if the
  /// leaf does not state it.
  std::uint64_t sequence = 0;
  /// Remaining time for which the leaf was cold when the entry was written.
  std::chrono::milliseconds cold_left{0};

  friend bool operator==(const LeafEntry&, const LeafEntry&) = default;
};

}  // namespace berylreach::forward
