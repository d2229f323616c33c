// Parses and validates one document.
#include "document_parser.h"

#include <algorithm>

#include "berylreach/config/bounds.h"
#include "berylreach/config/request_kind_name.h"

namespace berylreach::config {

model::Environment DocumentParser::Parse(const json::value& value) {
  model::Environment environment;
  ObjectReader reader(value, "", findings_);
  environment.name = reader.Name("name");
  reader.ForEachElement(
      "zones", 1, kMaxZones,
      [&](const json::value& zone, const std::string& location) {
        environment.zones.push_back(ParseZone(zone, location));
      });
  CheckZones(environment);
  reader.ForEachElement(
      "services", 1, kMaxServices,
      [&](const json::value& service, const std::string& location) {
        environment.services.push_back(ParseService(service, location));
      });
  reader.RejectUnknown();
  return environment;
}

model::Zone DocumentParser::ParseZone(const json::value& value,
                                      const std::string& location) {
  model::Zone zone;
  ObjectReader reader(value, location, findings_);
  zone.name.value = reader.Name("name");
  CheckUnique(zones_, zone.name.value, reader.Location("name"));
  zone.region = reader.Name("region");
  zone.state = reader.OneOf("state", {"in", "out"}) == 1
                   ? model::ZoneState::kOutOfService
                   : model::ZoneState::kInService;
  reader.RejectUnknown();
  return zone;
}

void DocumentParser::CheckZones(const model::Environment& environment) {
  const auto& zones = environment.zones;
  const bool all_out =
      !zones.empty() &&
      std::all_of(zones.begin(), zones.end(), [](const model::Zone& zone) {
        return zone.state == model::ZoneState::kOutOfService;
      });
  if (all_out)
    findings_.push_back({"/zones", "must have a zone with state \"in\""});
}

model::Service DocumentParser::ParseService(const json::value& value,
                                            const std::string& location) {
  model::Service service;
  ObjectReader reader(value, location, findings_);
  service.name.value = reader.Name("name");
  CheckUnique(services_, service.name.value, reader.Location("name"));
  service.priority = reader.Uint32("priority", 0, kMaxPriority);
  service.shards = reader.Uint32("shards", 1, kMaxShards);
  service.accepts = ParseAccepts(reader);
  reader.ForEachElement(
      "leaves", 1, kMaxLeavesPerService,
      [&](const json::value& leaf, const std::string& leaf_location) {
        service.leaves.push_back(ParseLeaf(leaf, leaf_location));
      });
  if (!service.leaves.empty() && service.leaves.size() < service.shards)
    reader.AddFinding("leaves", "must have an entry for each of the " +
                                    std::to_string(service.shards) + " shards");
  reader.RejectUnknown();
  return service;
}

std::vector<model::RequestKind> DocumentParser::ParseAccepts(
    ObjectReader& reader) {
  std::vector<model::RequestKind> kinds;
  reader.ForEachElement(
      "accepts", 1, 3,
      [&](const json::value& value, const std::string& location) {
        const json::string* name = value.if_string();
        const auto kind = name == nullptr
                              ? std::nullopt
                              : ParseRequestKind({name->data(), name->size()});
        if (!kind) {
          findings_.push_back(
              {location, "must be one of \"query\", \"lookup\", \"order\""});
        } else if (std::find(kinds.begin(), kinds.end(), *kind) !=
                   kinds.end()) {
          findings_.push_back({location, "is listed more than once"});
        } else {
          kinds.push_back(*kind);
        }
      });
  return kinds;
}

model::Leaf DocumentParser::ParseLeaf(const json::value& value,
                                      const std::string& location) {
  model::Leaf leaf;
  ObjectReader reader(value, location, findings_);
  leaf.name.value = reader.Name("name");
  CheckUnique(leaves_, leaf.name.value, reader.Location("name"));
  leaf.address = reader.IpAddress("address");
  CheckUnique(addresses_, leaf.address, reader.Location("address"));
  leaf.zone.value = reader.Name("zone");
  if (!leaf.zone.value.empty() && zones_.count(leaf.zone.value) == 0)
    reader.AddFinding("zone", "names a zone that is not in /zones");
  leaf.slots = reader.Uint32("slots", 1, kMaxConnections);
  leaf.max_connections = reader.Uint32("connections", 1, kMaxConnections);
  if (leaf.max_connections != 0 && leaf.slots > leaf.max_connections)
    reader.AddFinding("slots", "must not be above connections");
  reader.RejectUnknown();
  return leaf;
}

void DocumentParser::CheckUnique(FirstUses& seen, const std::string& value,
                                 const std::string& location) {
  if (value.empty()) return;
  const auto [found, inserted] = seen.emplace(value, location);
  if (!inserted)
    findings_.push_back({location, "is already used at " + found->second});
}

}  // namespace berylreach::config
