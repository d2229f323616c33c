// Action: replace an order journal by compare-and-swap.
#pragma once

#include <cstdint>

#include "berylreach/model/order_journal.h"

namespace berylreach::orders {

/// Asks the core to write `journal` to `<environment>/orders/<bucket>` if its
/// revision is still `revision` (0 creates it); answered by
/// OrderCoordinator::OnJournalCas with the same `id`.
struct CasJournal {
  std::uint64_t id = 0;
  std::uint32_t bucket = 0;
  std::uint64_t revision = 0;
  model::OrderJournal journal;

  friend bool operator==(const CasJournal&, const CasJournal&) = default;
};

}  // namespace berylreach::orders
