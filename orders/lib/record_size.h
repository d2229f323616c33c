// Size of a journal record in the store.
#pragma once

#include <cstddef>

#include "berylreach/model/order_record.h"

namespace berylreach::orders {

/// Upper bound of the bytes that `record` takes in an encoded journal, in any
/// state and with its present outcome. The journal's own fields need fewer
/// bytes than one empty record.
std::size_t RecordSizeBound(const model::OrderRecord& record);

}  // namespace berylreach::orders
