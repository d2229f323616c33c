// Selects the codec for each type of message between hosts.
#include "peer_codec.h"

#include <utility>

#include "call_codec.h"
#include "codec_support.h"
#include "control_codec.h"

namespace berylreach::transport {
namespace {

/// Assumed size of an encoded message without its payload.
constexpr std::size_t kMessageOverheadBytes = 256;

struct MessageEncoder {
  rpc::Envelope::Builder builder;

  void operator()(const model::Heartbeat& message) {
    Encode(message, builder.initHeartbeat());
  }
  void operator()(const model::HeartbeatAck& message) {
    Encode(message, builder.initHeartbeatAck());
  }
  void operator()(const model::LeafCall& message) {
    Encode(message, builder.initLeafCall());
  }
  void operator()(const model::LeafReply& message) {
    Encode(message, builder.initLeafReply());
  }
  void operator()(const model::LeafCancel& message) {
    auto cancel = builder.initLeafCancel();
    Encode(message.id, cancel.initId());
    cancel.setOnlyIfQueued(message.only_if_queued);
  }
  void operator()(const model::OrderForward& message) {
    Encode(message, builder.initOrderForward());
  }
  void operator()(const model::OrderReply& message) {
    Encode(message, builder.initOrderReply());
  }
  void operator()(const model::LeafStates& message) {
    auto states = builder.initLeafStates(message.states.size());
    for (std::uint32_t i = 0; i < message.states.size(); ++i)
      Encode(message.states[i], states[i]);
  }
  void operator()(const model::HostListUpdate& message) {
    Encode(message.list, builder.initHostListUpdate());
  }
  void operator()(const model::SuspectUpdate& message) {
    auto entries = builder.initSuspectUpdate(message.entries.size());
    for (std::uint32_t i = 0; i < message.entries.size(); ++i)
      Encode(message.entries[i], entries[i]);
  }
  void operator()(const model::DocumentOffer& message) {
    Encode(message.document, builder.initDocumentOffer());
  }
  void operator()(const model::PartsRequest& message) {
    auto hashes = builder.initPartsRequest(message.hashes.size());
    for (std::uint32_t i = 0; i < message.hashes.size(); ++i)
      hashes.set(i, message.hashes[i]);
  }
  void operator()(const model::PartsReply& message) {
    auto parts = builder.initPartsReply(message.parts.size());
    for (std::uint32_t i = 0; i < message.parts.size(); ++i)
      parts.set(i, ToData(message.parts[i]));
  }
  void operator()(const model::HeadUpdate& message) {
    Encode(message, builder.initHeadUpdate());
  }
  void operator()(const model::Release& message) {
    Encode(message, builder.initRelease());
  }
  void operator()(const model::SilenceNotice& message) {
    Encode(message, builder.initSilenceNotice());
  }
};

std::optional<model::PeerMessage> DecodeMessage(rpc::Envelope::Reader reader) {
  switch (reader.which()) {
    case rpc::Envelope::HEARTBEAT:
      return Decode(reader.getHeartbeat());
    case rpc::Envelope::HEARTBEAT_ACK:
      return Decode(reader.getHeartbeatAck());
    case rpc::Envelope::LEAF_CALL:
      return Decode(reader.getLeafCall());
    case rpc::Envelope::LEAF_REPLY:
      return Decode(reader.getLeafReply());
    case rpc::Envelope::LEAF_CANCEL:
      return model::LeafCancel{Decode(reader.getLeafCancel().getId()),
                               reader.getLeafCancel().getOnlyIfQueued()};
    case rpc::Envelope::ORDER_FORWARD:
      return Decode(reader.getOrderForward());
    case rpc::Envelope::ORDER_REPLY:
      return Decode(reader.getOrderReply());
    case rpc::Envelope::LEAF_STATES: {
      model::LeafStates message;
      for (const auto state : reader.getLeafStates())
        message.states.push_back(Decode(state));
      return message;
    }
    case rpc::Envelope::HOST_LIST_UPDATE:
      return model::HostListUpdate{Decode(reader.getHostListUpdate())};
    case rpc::Envelope::SUSPECT_UPDATE: {
      model::SuspectUpdate message;
      for (const auto entry : reader.getSuspectUpdate())
        message.entries.push_back(Decode(entry));
      return message;
    }
    case rpc::Envelope::DOCUMENT_OFFER:
      return model::DocumentOffer{Decode(reader.getDocumentOffer())};
    case rpc::Envelope::PARTS_REQUEST: {
      model::PartsRequest message;
      for (const auto hash : reader.getPartsRequest())
        message.hashes.push_back(FromText(hash));
      return message;
    }
    case rpc::Envelope::PARTS_REPLY: {
      model::PartsReply message;
      for (const auto part : reader.getPartsReply())
        message.parts.push_back(FromData(part));
      return message;
    }
    case rpc::Envelope::HEAD_UPDATE:
      return Decode(reader.getHeadUpdate());
    case rpc::Envelope::RELEASE:
      return Decode(reader.getRelease());
    case rpc::Envelope::SILENCE_NOTICE:
      return Decode(reader.getSilenceNotice());
  }
  return std::nullopt;
}

}  // namespace

void EncodeMessage(const model::PeerMessage& message,
                   rpc::Envelope::Builder builder) {
  std::visit(MessageEncoder{builder}, message);
}

std::optional<model::Envelope> DecodeEnvelope(rpc::Envelope::Reader reader) {
  try {
    auto message = DecodeMessage(reader);
    if (!message) return std::nullopt;
    return model::Envelope{{FromText(reader.getFrom())},
                           reader.getIncarnation(),
                           std::move(*message)};
  } catch (const UnknownEnumValue&) {
    return std::nullopt;
  }
}

std::size_t EstimateSize(const model::PeerMessage& message) {
  std::size_t size = kMessageOverheadBytes;
  if (const auto* call = std::get_if<model::LeafCall>(&message)) {
    size += call->payload.size() + call->key.size();
  } else if (const auto* reply = std::get_if<model::LeafReply>(&message)) {
    size += reply->result.size();
  } else if (const auto* order = std::get_if<model::OrderForward>(&message)) {
    size += order->payload.size() + order->key.size();
  } else if (const auto* parts = std::get_if<model::PartsReply>(&message)) {
    for (const std::string& part : parts->parts) size += part.size();
  }
  return size;
}

}  // namespace berylreach::transport
