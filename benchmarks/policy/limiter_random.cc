// The baseline of the limiter comparisons: random replicas without limits.
#include <string>

#include "limiter_simulation.h"

namespace berylreach::bench {

void LimiterSimulation::StartRandom(std::uint64_t number) {
  Query& query = queries_.at(number);
  query.open = options_.shards;
  for (std::uint32_t shard = 0; shard < options_.shards; ++shard) {
    model::LeafCall call;
    call.id = hosts_[query.host]->NextCallId();
    call.shard = shard;
    SendRandom(number, call);
  }
}

void LimiterSimulation::SendRandom(std::uint64_t number,
                                   const model::LeafCall& call) {
  const std::size_t leaf = std::size_t{call.shard} * options_.replicas +
                           replica_random_() % options_.replicas;
  const base::Duration hop = Latency(
      options_.ZoneOfHost(queries_.at(number).host), options_.ZoneOfLeaf(leaf));
  events_.After(hop, [this, number, call, leaf, hop] {
    upstreams_[leaf]->Call(
        call, [this, number, call, hop](const model::UpstreamResult& result) {
          events_.After(hop, [this, number, call, result] {
            OnRandomResult(number, call, result);
          });
        });
  });
}

// A call that the leaf shed or lost is sent again until it succeeds.
void LimiterSimulation::OnRandomResult(std::uint64_t number,
                                       const model::LeafCall& call,
                                       const model::UpstreamResult& result) {
  if (result.outcome != model::LeafOutcome::kOk) {
    events_.After(result.retry_after,
                  [this, number, call] { SendRandom(number, call); });
    return;
  }
  Query& query = queries_.at(number);
  if (--query.open > 0) return;
  const bool in_time = events_.Now() - query.arrived <= std::chrono::seconds(1);
  RecordLatency(query, in_time);
  queries_.erase(number);
}

}  // namespace berylreach::bench
