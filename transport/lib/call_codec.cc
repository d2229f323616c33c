// Cap'n Proto codec of leaf calls, forwarded orders and their replies.
#include "call_codec.h"

#include "codec_support.h"

namespace berylreach::transport {

void Encode(const model::LeafCall& call, rpc::LeafCall::Builder builder) {
  Encode(call.id, builder.initId());
  builder.setLeaf(call.leaf.value);
  builder.setService(call.service.value);
  builder.setKind(static_cast<std::uint8_t>(call.kind));
  builder.setPriority(call.priority);
  builder.setShard(call.shard);
  builder.setShardCount(call.shard_count);
  builder.setVersion(call.version);
  builder.setPayload(ToData(call.payload));
  builder.setKey(ToData(call.key));
  builder.setFingerprint(call.fingerprint);
  builder.setBudgetUs(call.budget.count());
  builder.setExtra(call.is_extra_load);
  builder.setAlone(call.exclusive);
  builder.setCanary(call.canary);
  builder.setNoWait(call.no_wait);
}

model::LeafCall Decode(rpc::LeafCall::Reader reader) {
  model::LeafCall call;
  call.id = Decode(reader.getId());
  call.leaf.value = FromText(reader.getLeaf());
  call.service.value = FromText(reader.getService());
  call.kind = FromNumber(reader.getKind(), model::RequestKind::kOrder);
  call.priority = reader.getPriority();
  call.shard = reader.getShard();
  call.shard_count = reader.getShardCount();
  call.version = reader.getVersion();
  call.payload = FromData(reader.getPayload());
  call.key = FromData(reader.getKey());
  call.fingerprint = reader.getFingerprint();
  call.budget = std::chrono::microseconds(reader.getBudgetUs());
  call.is_extra_load = reader.getExtra();
  call.exclusive = reader.getAlone();
  call.canary = reader.getCanary();
  call.no_wait = reader.getNoWait();
  return call;
}

void Encode(const model::LeafReply& reply, rpc::LeafReply::Builder builder) {
  Encode(reply.id, builder.initId());
  builder.setLeaf(reply.leaf.value);
  builder.setOutcome(static_cast<std::uint8_t>(reply.outcome));
  builder.setVersion(reply.version);
  builder.setShard(reply.shard);
  builder.setShardCount(reply.shard_count);
  builder.setResult(ToData(reply.result));
  Encode(reply.holdings, builder.initHoldings(reply.holdings.size()));
  builder.setLoad(reply.load);
  builder.setRetryAfterMs(reply.retry_after.count());
}

model::LeafReply Decode(rpc::LeafReply::Reader reader) {
  model::LeafReply reply;
  reply.id = Decode(reader.getId());
  reply.leaf.value = FromText(reader.getLeaf());
  reply.outcome = FromNumber(reader.getOutcome(), model::LeafOutcome::kNoSlot);
  reply.version = reader.getVersion();
  reply.shard = reader.getShard();
  reply.shard_count = reader.getShardCount();
  reply.result = FromData(reader.getResult());
  reply.holdings = Decode(reader.getHoldings());
  reply.load = reader.getLoad();
  reply.retry_after = std::chrono::milliseconds(reader.getRetryAfterMs());
  return reply;
}

void Encode(const model::OrderForward& order,
            rpc::OrderForward::Builder builder) {
  Encode(order.id, builder.initId());
  builder.setService(order.service.value);
  builder.setKey(ToData(order.key));
  builder.setPayload(ToData(order.payload));
  builder.setIssuedAtMs(order.issued_at_ms);
  builder.setBudgetUs(order.budget.count());
  builder.setDeadlineUnixMs(order.deadline_unix_ms);
}

model::OrderForward Decode(rpc::OrderForward::Reader reader) {
  model::OrderForward order;
  order.id = Decode(reader.getId());
  order.service.value = FromText(reader.getService());
  order.key = FromData(reader.getKey());
  order.payload = FromData(reader.getPayload());
  order.issued_at_ms = reader.getIssuedAtMs();
  order.budget = std::chrono::microseconds(reader.getBudgetUs());
  order.deadline_unix_ms = reader.getDeadlineUnixMs();
  return order;
}

namespace {

void Encode(const model::ShardResult& result,
            rpc::ShardResult::Builder builder) {
  builder.setShard(result.shard);
  builder.setResult(ToData(result.result));
}

void Encode(const model::MissingShard& missing,
            rpc::MissingShard::Builder builder) {
  builder.setShard(missing.shard);
  builder.setReason(static_cast<std::uint8_t>(missing.reason));
}

void Encode(const model::Answer& answer, rpc::Answer::Builder builder) {
  auto results = builder.initResults(answer.results.size());
  for (std::uint32_t i = 0; i < answer.results.size(); ++i)
    Encode(answer.results[i], results[i]);
  builder.setVersion(answer.version);
  const model::Coverage& coverage = answer.coverage;
  builder.setShardsAnswered(coverage.shards_answered);
  builder.setShardsTotal(coverage.shards_total);
  auto missing = builder.initMissing(coverage.missing.size());
  for (std::uint32_t i = 0; i < coverage.missing.size(); ++i)
    Encode(coverage.missing[i], missing[i]);
}

model::Answer Decode(rpc::Answer::Reader reader) {
  model::Answer answer;
  for (const auto result : reader.getResults())
    answer.results.push_back({result.getShard(), FromData(result.getResult())});
  answer.version = reader.getVersion();
  answer.coverage.shards_answered = reader.getShardsAnswered();
  answer.coverage.shards_total = reader.getShardsTotal();
  for (const auto missing : reader.getMissing())
    answer.coverage.missing.push_back(
        {missing.getShard(),
         FromNumber(missing.getReason(), model::MissingReason::kVersionGone)});
  return answer;
}

void Encode(const model::Refusal& refusal, rpc::Refusal::Builder builder) {
  builder.setCode(static_cast<std::uint8_t>(refusal.code));
  builder.setMessage(refusal.message);
  builder.setRan(static_cast<std::uint8_t>(refusal.execution));
  builder.setRetryAfterMs(refusal.retry_after.count());
}

model::Refusal Decode(rpc::Refusal::Reader reader) {
  model::Refusal refusal;
  refusal.code = FromNumber(reader.getCode(), model::ErrorCode::kNoSnapshot);
  refusal.message = FromText(reader.getMessage());
  refusal.execution = FromNumber(reader.getRan(), model::ExecutionStatus::kRan);
  refusal.retry_after = std::chrono::milliseconds(reader.getRetryAfterMs());
  return refusal;
}

}  // namespace

void Encode(const model::OrderReply& reply, rpc::OrderReply::Builder builder) {
  Encode(reply.id, builder.initId());
  if (const auto* answer = std::get_if<model::Answer>(&reply.reply)) {
    Encode(*answer, builder.initAnswer());
  } else {
    Encode(std::get<model::Refusal>(reply.reply), builder.initRefusal());
  }
}

model::OrderReply Decode(rpc::OrderReply::Reader reader) {
  model::OrderReply reply;
  reply.id = Decode(reader.getId());
  if (reader.isAnswer()) {
    reply.reply = Decode(reader.getAnswer());
  } else {
    reply.reply = Decode(reader.getRefusal());
  }
  return reply;
}

}  // namespace berylreach::transport
