// Environment, members and leaf states of a simulated entry host.
#include "bench_host.h"

namespace berylreach::bench {

BenchHost::BenchHost(const BenchOptions& options, const base::Clock& clock,
                     std::uint64_t index)
    : options_(options),
      index_(index),
      random_(options.seed * 1000 + index),
      leaves_(clock),
      cache_(clock),
      suspects_(clock),
      hedge_budget_(options.hedge_budget, options.hedge_burst) {
  for (std::uint32_t zone = 0; zone < options.zones; ++zone) {
    const std::string suffix = std::to_string(zone);
    environment_.zones.push_back(
        {{"zone" + suffix}, "region" + (options.zone_is_region ? suffix : "")});
  }
  model::Service service;
  service.name = {"desk"};
  service.shards = options.shards;
  service.accepts = {model::RequestKind::kQuery};
  environment_.services.push_back(service);
  for (std::uint32_t shard = 0; shard < options.shards; ++shard) {
    for (std::uint32_t replica = 0; replica < options.replicas; ++replica) {
      AddLeaf(shard, replica);
    }
  }
  for (std::uint32_t host = 0; host < options.hosts; ++host) {
    model::Member member;
    member.host = {std::to_string(host)};
    member.zone = environment_.zones[options.ZoneOfHost(host)].name;
    members_.push_back(member);
  }
  ownership_ = routing::OwnershipTable(1, 1, environment_, members_);
}

void BenchHost::AddLeaf(std::uint32_t shard, std::uint32_t replica) {
  const std::size_t index = std::size_t{shard} * options_.replicas + replica;
  model::Leaf leaf;
  leaf.name = {std::to_string(index)};
  leaf.zone = environment_.zones[options_.ZoneOfLeaf(index)].name;
  leaf.slots = options_.slots;
  environment_.services[0].leaves.push_back(leaf);
  model::LeafState state;
  state.leaf = leaf.name;
  state.sequence = 1;
  state.holdings = {{1, shard, options_.shards}};
  leaves_.Merge(state);
}

}  // namespace berylreach::bench
