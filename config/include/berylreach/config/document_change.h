// One difference between two documents.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace berylreach::config {

/// How a value differs between two documents.
enum class ChangeKind : std::uint8_t {
  kAdded,
  kRemoved,
  kChanged,
};

/// The name of `kind`: "added", "removed" or "changed".
std::string_view ToString(ChangeKind kind);

/// A zone, service or leaf that was added or removed, or a member whose value
/// changed.
struct DocumentChange {
  ChangeKind kind = ChangeKind::kChanged;
  /// JSON pointer into the canonical form of the new document; for a removed
  /// value, into that of the old document.
  std::string location;
  /// The same location with names instead of positions, such as
  /// "services/order-desk/priority".
  std::string subject;
  /// Old value as JSON text; empty for an added value.
  std::string old_value;
  /// New value as JSON text; empty for a removed value.
  std::string new_value;

  friend bool operator==(const DocumentChange&,
                         const DocumentChange&) = default;
};

}  // namespace berylreach::config
