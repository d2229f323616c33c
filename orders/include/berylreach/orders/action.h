// The actions that the order coordinator requests from the core.
#pragma once

#include <variant>
#include <vector>

#include "berylreach/orders/cas_journal.h"
#include "berylreach/orders/read_journal.h"
#include "berylreach/orders/record_event.h"
#include "berylreach/orders/reply.h"
#include "berylreach/orders/send_order.h"

namespace berylreach::orders {

/// One action that the core must carry out.
using Action =
    std::variant<ReadJournal, CasJournal, SendOrder, Reply, RecordEvent>;
using Actions = std::vector<Action>;

}  // namespace berylreach::orders
