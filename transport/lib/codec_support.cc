// Conversions that the codecs of RPC messages share.
#include "codec_support.h"

namespace berylreach::transport {

void Encode(const model::CallId& id, rpc::CallId::Builder builder) {
  builder.setIncarnation(id.incarnation);
  builder.setCounter(id.counter);
}

model::CallId Decode(rpc::CallId::Reader reader) {
  return {reader.getIncarnation(), reader.getCounter()};
}

void Encode(const model::DocumentRef& document,
            rpc::DocumentRef::Builder builder) {
  builder.setVersion(document.version);
  builder.setHash(document.hash);
}

model::DocumentRef Decode(rpc::DocumentRef::Reader reader) {
  return {reader.getVersion(), FromText(reader.getHash())};
}

void Encode(const model::Holding& holding, rpc::Holding::Builder builder) {
  builder.setVersion(holding.version);
  builder.setShard(holding.shard);
  builder.setShardCount(holding.shard_count);
}

model::Holding Decode(rpc::Holding::Reader reader) {
  return {reader.getVersion(), reader.getShard(), reader.getShardCount()};
}

void Encode(const std::vector<model::Holding>& holdings,
            capnp::List<rpc::Holding>::Builder list) {
  for (std::uint32_t i = 0; i < holdings.size(); ++i)
    Encode(holdings[i], list[i]);
}

std::vector<model::Holding> Decode(capnp::List<rpc::Holding>::Reader list) {
  std::vector<model::Holding> holdings;
  holdings.reserve(list.size());
  for (const auto holding : list) holdings.push_back(Decode(holding));
  return holdings;
}

}  // namespace berylreach::transport
