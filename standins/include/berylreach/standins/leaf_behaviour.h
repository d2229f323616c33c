// How a leaf stand-in behaves; set by its control endpoint.
#pragma once

#include <boost/json/object.hpp>
#include <cstdint>
#include <string>

namespace berylreach::standins {

/// Fields are named as in control requests.
struct LeafBehaviour {
  /// Lognormal service time.
  double median_ms = 1;
  double sigma = 0;
  /// Fraction of calls that take `straggler_factor` times longer.
  double straggler_ratio = 0;
  double straggler_factor = 10;
  std::int64_t seed = 1;
  /// A call whose payload contains this text ends the process; empty for none.
  std::string die_on;
  bool shed = false;
  bool drain = false;
  /// Completions until the leaf is warm. While it is cold it runs one call at a
  /// time and fails all others.
  std::int64_t cold = 0;
  bool garbage = false;
  bool wrong_request_id = false;
};

void Apply(const boost::json::object& fields, LeafBehaviour& behaviour);

}  // namespace berylreach::standins
