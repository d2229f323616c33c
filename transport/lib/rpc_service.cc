// Receives messages from other hosts over the RPC interface.
#include "rpc_service.h"

#include <utility>
#include <vector>

#include "peer_codec.h"

namespace berylreach::transport {

kj::Promise<void> RpcService::deliver(DeliverContext context) {
  const auto messages = context.getParams().getMessages();
  std::vector<model::Envelope> envelopes;
  envelopes.reserve(messages.size());
  for (const auto message : messages) {
    auto envelope = DecodeEnvelope(message);
    if (envelope) {
      envelopes.push_back(std::move(*envelope));
    } else {
      ++dropped_;
    }
  }
  on_messages_(std::move(envelopes));
  return kj::READY_NOW;
}

}  // namespace berylreach::transport
