// Which versions of a service a call may go to.
#pragma once

#include <string>
#include <vector>

namespace berylreach::forward {

/// When a call may go to leaves of a version.
enum class VersionUse {
  /// Before leaves of other versions.
  kPreferred,
  kAllowed,
  /// Only if no leaf of another permitted version can be called now.
  kIfNoOtherCallable,
  /// Only if no leaf of another permitted version is listed.
  kIfNoOtherListed,
  kNever,
};

/// Which versions one call may go to. Valid until the shift changes.
struct VersionPermit {
  const std::string* target_version = nullptr;
  /// Versions of earlier orders that are used only if no other is listed.
  const std::vector<std::string>* withheld = nullptr;
  VersionUse target = VersionUse::kAllowed;
  VersionUse others = VersionUse::kAllowed;

  VersionUse UseOf(const std::string& version) const;
};

}  // namespace berylreach::forward
