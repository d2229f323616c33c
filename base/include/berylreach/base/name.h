// Distinct string types for the names of hosts, zones, services and leaves.
#pragma once

#include <compare>
#include <functional>
#include <string>

namespace berylreach::base {

/// A name of one kind. Names with different `Tag` types are different types, so
/// that the compiler rejects a name of the wrong kind.
template <typename Tag>
struct Name {
  std::string value;

  // clang-tidy mistakes the 0 in the rewritten comparison for a null pointer.
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
