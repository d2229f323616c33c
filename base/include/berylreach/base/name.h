// Distinct string types for the names of hosts, zones, services and leaves.
#pragma once

#include <compare>
#include <functional>
#include <string>

namespace berylreach::base {

/// A string of one kind; `Tag` keeps names of different kinds from being mixed
/// up.
template <typename Tag>
struct Name {
  std::string value;

  // The check mistakes the 0 of the rewritten comparison for a pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const Name&, const Name&) = default;
};

}  // namespace berylreach::base

template <typename Tag>
struct std::hash<berylreach::base::Name<Tag>> {
  std::size_t operator()(const berylreach::base::Name<Tag>& name) const {
    return std::hash<std::string>{}(name.value);
  }
};
