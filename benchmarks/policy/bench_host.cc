// The order desk's document and leaf states.
#include "bench_host.h"

namespace berylreach::bench {
namespace {

std::string RegionName(std::uint32_t region) {
  return "region-" + std::to_string(region);
}

model::ZoneName ZoneOf(std::uint32_t region) {
  return {"zone-" + std::to_string(region)};
}

}  // namespace

BenchHost::BenchHost(const BenchOptions& options, const base::Clock& clock,
                     std::uint64_t number)
    : number_(number),
      random_(options.seed * 1000 + number),
      leaves_(clock),
      cache_(clock),
      suspects_(clock),
      hedge_budget_(options.hedge_budget, options.burst) {
  for (std::uint32_t region = 0; region < options.regions; ++region) {
    environment_.zones.push_back({ZoneOf(region), RegionName(region)});
  }
  own_zone_ = ZoneOf(options.RegionOfHost(number));
  model::Service service;
  service.name = {"desk"};
  service.shards = options.shards;
  service.accepts = {model::RequestKind::kQuery, model::RequestKind::kLookup};
  environment_.services.push_back(service);
  for (std::uint32_t shard = 0; shard < options.shards; ++shard) {
    for (std::uint32_t replica = 0; replica < options.replicas; ++replica) {
      AddLeaf(options, shard, replica);
    }
  }
  model::Member member;
  member.host = {"owner"};
  member.zone = own_zone_;
  members_.push_back(member);
  ownership_ = routing::OwnershipTable(1, 1, environment_, members_);
}

void BenchHost::AddLeaf(const BenchOptions& options, std::uint32_t shard,
                        std::uint32_t replica) {
  model::Leaf leaf;
  const std::uint32_t number = shard * options.replicas + replica;
  leaf.name = {std::to_string(number)};
  leaf.zone = ZoneOf(options.RegionOfLeaf(number));
  leaf.slots = options.slots;
  environment_.services[0].leaves.push_back(leaf);
  model::LeafState state;
  state.leaf = leaf.name;
  state.sequence = 1;
  state.holdings = {{1, shard, options.shards}};
  leaves_.Merge(state);
}

}  // namespace berylreach::bench
