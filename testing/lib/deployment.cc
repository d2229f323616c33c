// A small deployment for tests with several hosts, and requests to it.
#include "berylreach/testing/deployment.h"

#include <algorithm>
#include <chrono>

namespace berylreach::testing {
namespace {

constexpr const char* kZoneNames[] = {"a", "b", "c"};

/// Builds services whose leaves have distinct addresses and are spread over the
/// zones.
class DeploymentBuilder {
 public:
  model::Service MakeService(const std::string& name, std::uint32_t priority,
                             std::uint32_t shards, std::uint32_t replicas,
                             std::uint32_t slots,
                             std::vector<model::RequestKind> accepts) {
    model::Service service{{name}, priority, shards, std::move(accepts), {}};
    for (std::uint32_t shard = 0; shard < shards; ++shard) {
      for (std::uint32_t replica = 0; replica < replicas; ++replica) {
        const std::string leaf =
            name + "-" + std::to_string(shard) + "-" + std::to_string(replica);
        service.leaves.push_back(MakeLeaf(leaf, shard + replica, slots));
      }
    }
    return service;
  }

 private:
  model::Leaf MakeLeaf(const std::string& name, std::uint32_t zone,
                       std::uint32_t slots) {
    return {{name},
            "127.0.0.1:" + std::to_string(++port_),
            {kZoneNames[zone % 3]},
            slots,
            25};
  }

  int port_ = 20000;
};

}  // namespace

model::Environment SmallEnvironment() {
  using model::RequestKind;
  model::Environment environment;
  environment.name = "small";
  for (const char* zone : kZoneNames) {
    environment.zones.push_back(
        {{zone}, std::string("region-") + zone, model::ZoneState::kInService});
  }
  DeploymentBuilder builder;
  environment.services = {
      builder.MakeService("buckle-screen", 1, 1, 4, 4, {RequestKind::kLookup}),
      builder.MakeService("hide-ledger", 1, 1, 3, 4,
                          {RequestKind::kLookup, RequestKind::kOrder}),
      builder.MakeService("order-desk", 0, 4, 2, 2, {RequestKind::kQuery}),
  };
  return environment;
}

const std::vector<std::string>& SixHosts() {
  static const std::vector<std::string> hosts = {"a1", "a2", "b1",
                                                 "b2", "c1", "c2"};
  return hosts;
}

bool StartSixHosts(World& world) {
  for (const std::string& host : SixHosts())
    world.StartHost(host, host.substr(0, 1));
  world.RunFor(std::chrono::seconds(3));
  if (!world.Submit(world.environment())) return false;
  const auto all_ready = [&] {
    return std::all_of(
        SixHosts().begin(), SixHosts().end(),
        [&](const std::string& host) { return world.Ready(host); });
  };
  if (!world.RunUntil(all_ready, std::chrono::seconds(10))) return false;
  // Statuses are read every second, and takeovers take up to 1.7 s.
  world.RunFor(std::chrono::seconds(3));
  return true;
}

model::CallerRequest Query(const std::string& payload) {
  model::CallerRequest request;
  request.kind = model::RequestKind::kQuery;
  request.service = {"order-desk"};
  request.payload = payload;
  return request;
}

model::CallerRequest Lookup(const std::string& key) {
  model::CallerRequest request;
  request.kind = model::RequestKind::kLookup;
  request.service = {"buckle-screen"};
  request.key = key;
  request.payload = "\"" + key + "\"";
  return request;
}

model::CallerRequest Order(const World& world, const std::string& key,
                           const std::string& payload) {
  model::CallerRequest request;
  request.kind = model::RequestKind::kOrder;
  request.service = {"hide-ledger"};
  request.key = key;
  request.payload = payload;
  request.issued_at = world.WallNow();
  return request;
}

const model::Refusal* RefusalOf(const CallerRecord& record) {
  return record.reply ? std::get_if<model::Refusal>(&*record.reply) : nullptr;
}

const model::Answer* AnswerOf(const CallerRecord& record) {
  return record.reply ? std::get_if<model::Answer>(&*record.reply) : nullptr;
}

}  // namespace berylreach::testing
