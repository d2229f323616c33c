// Comparison of the answers to orders with the executions that leaves count.
#pragma once

#include <boost/json/array.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "load_statistics.h"

namespace berylreach::load {

/// Result of the comparison.
struct OrderCheck {
  /// Orders that ran at least once.
  std::int64_t run = 0;
  /// Orders that ran more than once.
  std::int64_t run_twice = 0;
  /// Orders reported as not run that did run.
  std::int64_t false_not_run = 0;
  /// Orders reported as run that did not run.
  std::int64_t false_ran = 0;
  /// Addresses of the leaves whose counters could not be read.
  json::array unread_leaves;
};

/// Reads the execution counters of the simulated leaves at `leaves` and
/// compares them with the orders of `statistics`. Adds the faults that it finds
/// to the examples of `statistics`.
OrderCheck CheckOrders(const std::vector<std::string>& leaves,
                       LoadStatistics& statistics);

}  // namespace berylreach::load
