// Encodes and parses the JSON body of the status that a leaf reports.
#include "berylreach/config/leaf_status_codec.h"

#include "berylreach/config/bounds.h"
#include "json_output.h"
#include "object_reader.h"

namespace berylreach::config {

std::string EncodeLeafStatus(const model::LeafStatus& status) {
  return json::serialize(
      json::object{{"leaf", status.leaf.value},
                   {"incarnation", ToHex(status.incarnation)},
                   {"state", status.draining ? "draining" : "live"},
                   {"holdings", ToJson(status.holdings)}});
}

Parsed<model::LeafStatus> ParseLeafStatus(std::string_view body) {
  Parsed<model::LeafStatus> result;
  const auto value = ParseJson(body, kMaxLeafBodyBytes, result.findings);
  if (!value) return result;
  ObjectReader reader(*value, "", result.findings);
  model::LeafStatus status;
  status.reachable = true;
  status.leaf.value = reader.NonEmptyText("leaf", kMaxNameBytes);
  status.incarnation = reader.HexOrUint64("incarnation");
  status.draining = reader.OneOf("state", {"live", "draining"}) == 1;
  status.holdings = reader.Holdings("holdings");
  if (result.findings.empty()) result.value = std::move(status);
  return result;
}

}  // namespace berylreach::config
