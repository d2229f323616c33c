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
  reader.ForEachElement("zones", 1, kMaxZones,
                        [&](const json::value& zone, const std::string& place) {
                          environment.zones.push_back(ParseZone(zone, place));
                        });
  CheckZones(environment);
  reader.ForEachElement(
      "services", 1, kMaxServices,
      [&](const json::value& service, const std::string& place) {
        environment.services.push_back(ParseService(service, place));
      });
  reader.RejectUnknown();
  return environment;
}

model::Zone DocumentParser::ParseZone(const json::value& value,
                                      const std::string& place) {
  model::Zone zone;
  ObjectReader reader(value, place, findings_);
  zone.name.value = reader.Name("name");
  CheckUnique(zones_, zone.name.value, reader.Place("name"));
  zone.region = reader.Name("region");
  zone.state = reader.OneOf("state", {"in", "out"}) == 1
                   ? model::ZoneState::kOut
                   : model::ZoneState::kIn;
  reader.RejectUnknown();
  return zone;
}

void DocumentParser::CheckZones(const model::Environment& environment) {
  const auto& zones = environment.zones;
  const bool all_out =
      !zones.empty() &&
      std::all_of(zones.begin(), zones.end(), [](const model::Zone& zone) {
        return zone.state == model::ZoneState::kOut;
      });
  if (all_out)
    findings_.push_back({"/zones", "must have a zone with state \"in\""});
}

model::Service DocumentParser::ParseService(const json::value& value,
                                            const std::string& place) {
  model::Service service;
  ObjectReader reader(value, place, findings_);
  service.name.value = reader.Name("name");
  CheckUnique(services_, service.name.value, reader.Place("name"));
  service.priority = reader.Uint32("priority", 0, kMaxPriority);
  service.shards = reader.Uint32("shards", 1, kMaxShards);
  service.accepts = ParseAccepts(reader);
  reader.ForEachElement(
      "leaves", 1, kMaxLeavesPerService,
      [&](const json::value& leaf, const std::string& leaf_place) {
        service.leaves.push_back(ParseLeaf(leaf, leaf_place));
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
      "accepts", 1, 3, [&](const json::value& value, const std::string& place) {
        const json::string* name = value.if_string();
        const auto kind = name == nullptr
                              ? std::nullopt
                              : ParseRequestKind({name->data(), name->size()});
        if (!kind) {
          findings_.push_back(
              {place, "must be one of \"query\", \"lookup\", \"order\""});
        } else if (std::find(kinds.begin(), kinds.end(), *kind) !=
                   kinds.end()) {
          findings_.push_back({place, "is listed more than once"});
        } else {
          kinds.push_back(*kind);
        }
      });
  return kinds;
}

model::Leaf DocumentParser::ParseLeaf(const json::value& value,
                                      const std::string& place) {
  model::Leaf leaf;
  ObjectReader reader(value, place, findings_);
  leaf.name.value = reader.Name("name");
  CheckUnique(leaves_, leaf.name.value, reader.Place("name"));
  leaf.address = reader.IpAddress("address");
  CheckUnique(addresses_, leaf.address, reader.Place("address"));
  leaf.zone.value = reader.Name("zone");
  if (!leaf.zone.value.empty() && zones_.count(leaf.zone.value) == 0)
    reader.AddFinding("zone", "names a zone that is not in /zones");
  leaf.slots = reader.Uint32("slots", 1, kMaxConnections);
  leaf.connections = reader.Uint32("connections", 1, kMaxConnections);
  if (leaf.connections != 0 && leaf.slots > leaf.connections)
    reader.AddFinding("slots", "must not be above connections");
  reader.RejectUnknown();
  return leaf;
}

void DocumentParser::CheckUnique(FirstUses& seen, const std::string& value,
                                 const std::string& place) {
  if (value.empty()) return;
  const auto [found, inserted] = seen.emplace(value, place);
  if (!inserted)
    findings_.push_back({place, "is already used at " + found->second});
}

}  // namespace berylreach::config
