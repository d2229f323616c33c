// Converts documents to canonical JSON values.
#include "document_json.h"

#include <algorithm>
#include <string_view>

#include "berylreach/config/request_kind_name.h"

namespace berylreach::config {
namespace {

template <typename T>
void SortByName(std::vector<T>& items) {
  std::sort(items.begin(), items.end(), [](const T& left, const T& right) {
    return left.name.value < right.name.value;
  });
}

json::string ToJsonString(std::string_view text) {
  return json::string(text.data(), text.size());
}

json::object ZoneToJson(const model::Zone& zone) {
  return {
      {"name", zone.name.value},
      {"region", zone.region},
      {"state", zone.state == model::ZoneState::kOutOfService ? "out" : "in"}};
}

json::object LeafToJson(const model::Leaf& leaf) {
  return {{"name", leaf.name.value},
          {"address", leaf.address},
          {"zone", leaf.zone.value},
          {"slots", leaf.slots},
          {"connections", leaf.max_connections}};
}

}  // namespace

json::object NameAndZonesToJson(const model::Environment& environment) {
  json::array zones;
  for (const model::Zone& zone : environment.zones)
    zones.push_back(ZoneToJson(zone));
  return {{"name", environment.name}, {"zones", std::move(zones)}};
}

json::object ServiceToJson(const model::Service& service) {
  json::array accepts;
  for (const model::RequestKind kind : service.accepts)
    accepts.push_back(ToJsonString(ToString(kind)));
  json::array leaves;
  for (const model::Leaf& leaf : service.leaves)
    leaves.push_back(LeafToJson(leaf));
  return {{"name", service.name.value},
          {"priority", service.priority},
          {"shards", service.shards},
          {"accepts", std::move(accepts)},
          {"leaves", std::move(leaves)}};
}

json::object DocumentToJson(const model::Environment& environment) {
  json::object document = NameAndZonesToJson(environment);
  json::array services;
  for (const model::Service& service : environment.services)
    services.push_back(ServiceToJson(service));
  document["services"] = std::move(services);
  return document;
}

void SortDocument(model::Environment& environment) {
  SortByName(environment.zones);
  SortByName(environment.services);
  for (model::Service& service : environment.services) {
    std::sort(service.accepts.begin(), service.accepts.end());
    SortByName(service.leaves);
  }
}

}  // namespace berylreach::config
