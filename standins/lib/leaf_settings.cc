// JSON conversion of the options, behaviour and counters of a leaf stand-in.
#include <boost/json.hpp>

#include "berylreach/standins/leaf_behaviour.h"
#include "berylreach/standins/leaf_counters.h"
#include "berylreach/standins/leaf_options.h"
#include "berylreach/standins/standin.h"

namespace berylreach::standins {
namespace {

namespace json = boost::json;

json::object ToJson(const std::map<std::string, std::int64_t>& counts) {
  json::object object;
  for (const auto& [name, count] : counts) object[name] = count;
  return object;
}

}  // namespace

LeafOptions ReadLeafOptions(const json::object& fields) {
  LeafOptions options;
  Assign(fields, "name", options.name);
  Assign(fields, "address", options.address);
  Assign(fields, "service", options.service);
  Assign(fields, "slots", options.slots);
  Assign(fields, "connections", options.connections);
  Assign(fields, "shard", options.shard);
  Assign(fields, "shard_count", options.shard_count);
  return options;
}

void Apply(const json::object& fields, LeafBehaviour& behaviour) {
  Assign(fields, "median_ms", behaviour.median_ms);
  Assign(fields, "sigma", behaviour.sigma);
  Assign(fields, "straggler_ratio", behaviour.straggler_ratio);
  Assign(fields, "straggler_factor", behaviour.straggler_factor);
  Assign(fields, "seed", behaviour.seed);
  Assign(fields, "die_on", behaviour.die_on);
  Assign(fields, "shed", behaviour.shed);
  Assign(fields, "drain", behaviour.drain);
  Assign(fields, "cold", behaviour.cold);
  Assign(fields, "garbage", behaviour.garbage);
  Assign(fields, "wrong_request_id", behaviour.wrong_request_id);
}

json::object ToJson(const LeafCounters& counters) {
  return {{"started", ToJson(counters.started)},
          {"payloads", ToJson(counters.payloads)},
          {"orders", ToJson(counters.orders)},
          {"max_running", counters.max_running},
          {"completed", counters.completed},
          {"past_deadline", counters.past_deadline},
          {"shed", counters.shed},
          {"failed_cold", counters.failed_cold},
          {"cancelled", counters.cancelled},
          {"version_gone", counters.version_gone},
          {"status_reads", counters.status_reads},
          {"last_new_call_unix_us", counters.last_new_call_unix_us}};
}

}  // namespace berylreach::standins
