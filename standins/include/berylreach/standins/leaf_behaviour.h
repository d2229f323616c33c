// Service time and faults of a leaf stand-in, which its control endpoint sets.
#pragma once

#include <boost/json/object.hpp>
#include <cstdint>
#include <string>

namespace berylreach::standins {

/// The fields have the same names as in control requests.
struct LeafBehaviour {
  /// Median, in milliseconds, and sigma of the lognormal service time.
  double median_ms = 1;
  double sigma = 0;
  /// Fraction of calls whose service time is multiplied by
  /// `straggler_factor`.
  double straggler_ratio = 0;
  double straggler_factor = 10;
  /// Seed of the random service times.
  std::int64_t seed = 1;
  /// A call whose payload contains this text makes the process exit; empty for
  /// none.
  std::string die_on;
  /// Refuses all calls as overloaded.
  bool shed = false;
  /// Refuses all calls as draining, and shows this in the status.
  bool drain = false;
  /// Number of completions until the leaf is warm. A cold leaf runs one call at
  /// a time and fails all others.
  std::int64_t cold = 0;
  /// Answers with a body that is not valid JSON.
  bool garbage = false;
  /// Answers with a default request id instead of that of the call.
  bool wrong_request_id = false;
};

/// Sets the fields of `behaviour` that are present in `fields`.
void Apply(const boost::json::object& fields, LeafBehaviour& behaviour);

}  // namespace berylreach::standins
