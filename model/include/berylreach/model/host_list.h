// The host list of the platform.
#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace berylreach::model {

/// One entry of the platform's host list.
struct HostListEntry {
  /// Host or leaf name.
  std::string node;
  bool leaving = false;

  friend auto operator<=>(const HostListEntry&, const HostListEntry&) = default;
};

/// A snapshot of the host list. Only entries that are leaving matter, so hosts
/// exchange only those.
struct HostList {
  /// The platform's index of the list; increases with each change.
  std::uint64_t index = 0;
  std::vector<HostListEntry> entries;

  friend bool operator==(const HostList&, const HostList&) = default;
};

}  // namespace berylreach::model
