// What the order coordinator asks the core to do.
#pragma once

#include <variant>
#include <vector>

#include "berylreach/orders/cas_journal.h"
#include "berylreach/orders/read_journal.h"
#include "berylreach/orders/record_event.h"
#include "berylreach/orders/reply.h"
#include "berylreach/orders/send_order.h"

namespace berylreach::orders {

using Action =
    std::variant<ReadJournal, CasJournal, SendOrder, Reply, RecordEvent>;
using Actions = std::vector<Action>;

}  // namespace berylreach::orders
