// Receives messages from other hosts over the RPC interface.
#pragma once

#include <atomic>
#include <cstdint>

#include "berylreach/transport/rpc_node.h"
#include "generated/peer.capnp.h"

namespace berylreach::transport {

/// Decodes the messages of each call and passes them on in order. Messages that
/// cannot be decoded are counted as dropped.
class RpcService final : public rpc::Peer::Server {
 public:
  RpcService(const RpcNode::Callback& on_messages,
             std::atomic<std::uint64_t>& dropped)
      : on_messages_(on_messages), dropped_(dropped) {}

  kj::Promise<void> deliver(DeliverContext context) override;

 private:
  const RpcNode::Callback& on_messages_;
  std::atomic<std::uint64_t>& dropped_;
};

}  // namespace berylreach::transport
