// Action: read an order journal.
#pragma once

#include <cstdint>

namespace berylreach::orders {

/// Asks the core to read `<environment>/orders/<bucket>`; answered by
/// OrderCoordinator::OnJournalRead with the same `id`.
struct ReadJournal {
  std::uint64_t id = 0;
  std::uint32_t bucket = 0;

  friend bool operator==(const ReadJournal&, const ReadJournal&) = default;
};

}  // namespace berylreach::orders
