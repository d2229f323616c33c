// One difference between two documents.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace berylreach::config {

/// What happened to a value between two documents.
enum class ChangeKind : std::uint8_t {
  kAdded,
  kRemoved,
  kChanged,
};

/// "added", "removed" or "changed".
std::string_view ToString(ChangeKind kind);

/// A zone, service or leaf that came or went, or a member that changed.
struct DocumentChange {
  ChangeKind kind = ChangeKind::kChanged;
  /// JSON pointer into the canonical form of the new document, for removed
  /// values of the old document.
  std::string place;
  /// The same place by names, such as "services/order-desk/priority".
  std::string subject;
  /// JSON text; empty if added.
  std::string old_value;
  /// JSON text; empty if removed.
  std::string new_value;

  friend bool operator==(const DocumentChange&,
                         const DocumentChange&) = default;
};

}  // namespace berylreach::config
