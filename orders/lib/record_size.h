// Upper bound of the size of a journal record in the store.
#pragma once

#include <cstddef>

#include "berylreach/model/order_record.h"

namespace berylreach::orders {

/// Upper bound of the size of `record` in an encoded journal, in bytes, with
/// its current outcome. It holds for every state of the record. The fields of
/// the journal itself take fewer bytes than one empty record.
std::size_t RecordSizeBound(const model::OrderRecord& record);

}  // namespace berylreach::orders
