// The order desk's document and leaf states.
#include "bench_host.h"

namespace berylreach::bench {

BenchHost::BenchHost(const BenchOptions& options, const base::Clock& clock,
                     std::uint64_t number)
    : number_(number),
      random_(options.seed * 1000 + number),
      leaves_(clock),
      cache_(clock),
      suspects_(clock),
      hedge_budget_(options.hedge_budget, options.burst) {
  environment_.zones = {{{"zone"}, "region"}};
  model::Service service;
  service.name = {"desk"};
  service.shards = options.shards;
  service.accepts = {model::RequestKind::kQuery};
  environment_.services.push_back(service);
  for (std::uint32_t shard = 0; shard < options.shards; ++shard) {
    for (std::uint32_t replica = 0; replica < options.replicas; ++replica) {
      AddLeaf(options, shard, replica);
    }
  }
  model::Member member;
  member.host = {"owner"};
  member.zone = {"zone"};
  members_.push_back(member);
  ownership_ = routing::OwnershipTable(1, 1, environment_, members_);
}

void BenchHost::AddLeaf(const BenchOptions& options, std::uint32_t shard,
                        std::uint32_t replica) {
  model::Leaf leaf;
  leaf.name = {std::to_string(shard * options.replicas + replica)};
  leaf.zone = {"zone"};
  leaf.slots = options.slots;
  environment_.services[0].leaves.push_back(leaf);
  model::LeafState state;
  state.leaf = leaf.name;
  state.sequence = 1;
  state.holdings = {{1, shard, options.shards}};
  leaves_.Merge(state);
}

}  // namespace berylreach::bench
