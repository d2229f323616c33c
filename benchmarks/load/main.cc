// berylreach-load: sends queries, lookups and orders to hosts as callers behind
// a load balancer do, checks every answer and prints one JSON object.
#include <gflags/gflags.h>

#include <boost/json.hpp>
#include <cstdio>
#include <exception>
#include <iostream>
#include <optional>

#include "callers.h"
#include "options.h"
#include "order_check.h"
#include "report.h"

namespace berylreach::load {
namespace {

int Run(const Options& options) {
  if (options.hosts.empty()) {
    std::cerr << "berylreach-load: --hosts names no address\n";
    return 2;
  }
  Callers callers(options);
  LoadStatistics statistics = callers.Run();
  std::optional<OrderCheck> check;
  if (options.verify_orders) check = CheckOrders(options.leaves, statistics);
  std::cout << json::serialize(Report(statistics, check)) << std::endl;
  return 0;
}

}  // namespace
}  // namespace berylreach::load

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  try {
    return berylreach::load::Run(berylreach::load::OptionsFromFlags());
  } catch (const std::exception& exception) {
    std::fprintf(stderr, "berylreach-load: %s\n", exception.what());
    return 2;
  }
}
