// The receiving side of the RPC interface.
#include "rpc_service.h"

#include <utility>

#include "peer_codec.h"

namespace berylreach::transport {

kj::Promise<void> RpcService::deliver(DeliverContext context) {
  for (const auto message : context.getParams().getMessages()) {
    auto envelope = DecodeEnvelope(message);
    if (envelope) {
      on_message_(std::move(*envelope));
    } else {
      ++dropped_;
    }
  }
  return kj::READY_NOW;
}

}  // namespace berylreach::transport
