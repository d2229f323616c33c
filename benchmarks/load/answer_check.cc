// Validation of answers from hosts.
#include "answer_check.h"

#include <boost/json.hpp>
#include <cstdint>
#include <set>

namespace berylreach::load {

namespace json = boost::json;

std::string DescribeAnswerFault(const json::object& answer,
                                const json::value& payload) {
  const auto& results = answer.at("results").as_array();
  const auto& coverage = answer.at("coverage").as_object();
  const auto answered = coverage.at("shards_answered").to_number<std::size_t>();
  const auto total = coverage.at("shards_total").to_number<std::size_t>();
  const auto& missing = coverage.at("missing").as_array();
  if (results.size() != answered || answered + missing.size() != total)
    return "shard counts of the coverage are inconsistent";
  std::set<std::int64_t> shards;
  for (const json::value& result : results) {
    const auto shard = result.at("shard").to_number<std::int64_t>();
    const json::object& body = result.at("result").as_object();
    shards.insert(shard);
    if (body.at("shard").to_number<std::int64_t>() != shard)
      return "result belongs to another shard";
    if (body.at("version") != answer.at("version"))
      return "results have different versions";
    if (body.at("payload") != payload)
      return "result belongs to another request";
  }
  for (const json::value& item : missing)
    shards.insert(item.at("shard").to_number<std::int64_t>());
  return shards.size() == total ? "" : "a shard occurs more than once";
}

}  // namespace berylreach::load
