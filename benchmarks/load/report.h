// The JSON object that the load program prints.
#pragma once

#include <boost/json/object.hpp>
#include <optional>

#include "figures.h"
#include "order_check.h"

namespace berylreach::load {

/// All figures; those of orders only if they were checked.
json::object Report(const Figures& figures,
                    const std::optional<OrderCheck>& check);

}  // namespace berylreach::load
