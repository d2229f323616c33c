// Generated environments and head records of a given size.
#include "fleet.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>

namespace berylreach::capacity {
namespace {

constexpr std::array<const char*, 3> kZones{"zone-a", "zone-b", "zone-c"};

std::string NumberedName(const std::string& prefix, std::size_t number) {
  std::array<char, 16> digits{};
  std::snprintf(digits.data(), digits.size(), "%05zu", number);
  return prefix + digits.data();
}

model::Leaf MakeLeaf(const std::string& service, std::size_t index,
                     std::size_t zone) {
  model::Leaf leaf;
  leaf.name = {NumberedName(service + "-leaf-", index)};
  // Leaves of one service differ in the IP address, services in the port.
  leaf.address = "10.0." + std::to_string(index / 250) + "." +
                 std::to_string(1 + index % 250) + ":" +
                 std::to_string(8000 + service.size());
  leaf.zone = {kZones.at(zone % kZones.size())};
  leaf.slots = 2;
  leaf.max_connections = 25;
  return leaf;
}

model::Service MakeService(const std::string& name, std::size_t leaves,
                           std::size_t replicas) {
  model::Service service;
  service.name = {name};
  service.shards = static_cast<std::uint32_t>(leaves / replicas);
  for (std::size_t i = 0; i < leaves; ++i)
    service.leaves.push_back(MakeLeaf(name, i, i / replicas + i % replicas));
  return service;
}

}  // namespace

model::Environment FleetEnvironment(std::size_t leaves, std::size_t replicas) {
  model::Environment environment;
  environment.name = "capacity";
  for (const char* zone : kZones) {
    environment.zones.push_back({{zone},
                                 std::string("region-of-") + zone,
                                 model::ZoneState::kInService});
  }
  model::Service ledger_service = MakeService("hide-ledger", 4, 4);
  ledger_service.accepts = {model::RequestKind::kLookup,
                            model::RequestKind::kOrder};
  model::Service desk_service = MakeService("order-desk", leaves, replicas);
  desk_service.accepts = {model::RequestKind::kQuery};
  environment.services = {std::move(ledger_service), std::move(desk_service)};
  return environment;
}

std::string HostZone(std::size_t index) {
  return kZones.at(index % kZones.size());
}

std::string HostName(std::size_t index) {
  return NumberedName(HostZone(index) + "-host-", index);
}

model::HeadRecord FleetHeadRecord(std::size_t hosts,
                                  const model::DocumentRef& document,
                                  std::size_t history_entries) {
  model::HeadRecord head;
  head.epoch = 1;
  head.nonce = 1;
  head.writer = HostName(0);
  for (std::size_t i = 0; i < hosts; ++i) {
    const std::string name = HostName(i);
    head.members.push_back(
        {{name}, i + 1, {HostZone(i)}, name + ":1", name + ":2"});
  }
  std::sort(head.members.begin(), head.members.end());
  head.document = document;
  for (std::size_t i = 0; i < history_entries; ++i) {
    head.history.push_back({{i + 1, document.hash},
                            "operator@example.org",
                            std::chrono::system_clock::time_point(
                                std::chrono::seconds(1'700'000'000 + i)),
                            "take order-desk-leaf-00042 out for a repair"});
  }
  return head;
}

}  // namespace berylreach::capacity
