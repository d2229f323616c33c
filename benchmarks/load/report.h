// The JSON object that the load generator prints.
#pragma once

#include <boost/json/object.hpp>
#include <optional>

#include "load_statistics.h"
#include "order_check.h"

namespace berylreach::load {

/// Formats all statistics; includes "orders_verified" only with a `check`.
json::object Report(const LoadStatistics& statistics,
                    const std::optional<OrderCheck>& check);

}  // namespace berylreach::load
