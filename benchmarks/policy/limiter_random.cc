// The baseline of the limiter comparisons: calls to random replicas without a
// limit.
#include <string>

#include "limiter_simulation.h"

namespace berylreach::bench {

void LimiterSimulation::CallRandomReplicas(std::uint64_t query_id) {
  Query& query = queries_.at(query_id);
  query.open_shards = options_.shards;
  for (std::uint32_t shard = 0; shard < options_.shards; ++shard) {
    model::LeafCall call;
    call.id = hosts_[query.host]->NextCallId();
    call.shard = shard;
    SendToRandomReplica(query_id, call);
  }
}

void LimiterSimulation::SendToRandomReplica(std::uint64_t query_id,
                                            const model::LeafCall& call) {
  const std::size_t leaf = std::size_t{call.shard} * options_.replicas +
                           replica_random_() % options_.replicas;
  const base::Duration delay =
      DelayBetween(options_.ZoneOfHost(queries_.at(query_id).host),
                   options_.ZoneOfLeaf(leaf));
  events_.After(delay, [this, query_id, call, leaf, delay] {
    upstreams_[leaf]->Call(call, [this, query_id, call,
                                  delay](const model::UpstreamResult& result) {
      events_.After(delay, [this, query_id, call, result] {
        OnRandomReplicaResult(query_id, call, result);
      });
    });
  });
}

/// Retries a failed call on a random replica until it succeeds, also after the
/// deadline.
void LimiterSimulation::OnRandomReplicaResult(
    std::uint64_t query_id, const model::LeafCall& call,
    const model::UpstreamResult& result) {
  if (result.outcome != model::LeafOutcome::kOk) {
    events_.After(result.retry_after, [this, query_id, call] {
      SendToRandomReplica(query_id, call);
    });
    return;
  }
  Query& query = queries_.at(query_id);
  if (--query.open_shards > 0) return;
  const bool in_time =
      events_.Now() - query.arrived_at <= std::chrono::seconds(1);
  RecordLatency(query, in_time);
  queries_.erase(query_id);
}

}  // namespace berylreach::bench
