// Comparison of the answers to orders with the runs that leaves count.
#pragma once

#include <boost/json/array.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "figures.h"

namespace berylreach::load {

/// What the comparison found.
struct OrderCheck {
  std::int64_t run = 0;
  std::int64_t run_twice = 0;
  /// Said not to have run, and ran.
  std::int64_t false_not_run = 0;
  /// Said to have run, and did not.
  std::int64_t false_ran = 0;
  /// Leaves whose counters could not be read.
  json::array unread_leaves;
};

/// Reads the counters of the leaf stand-ins at `leaves` and compares them with
/// the orders of `figures`, whose examples get the faults.
OrderCheck CheckOrders(const std::vector<std::string>& leaves,
                       Figures& figures);

}  // namespace berylreach::load
