// Conversions that the codecs of RPC messages share.
#pragma once

#include <capnp/blob.h>

#include <chrono>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <vector>

#include "berylreach/model/call_id.h"
#include "berylreach/model/document_ref.h"
#include "berylreach/model/holding.h"
#include "generated/peer.capnp.h"

namespace berylreach::transport {

/// Thrown for an enum value that this build does not know. DecodeEnvelope
/// catches it, so that it does not leave the codec.
struct UnknownEnumValue : std::runtime_error {
  UnknownEnumValue() : std::runtime_error("unknown enum value") {}
};

inline capnp::Data::Reader ToData(const std::string& bytes) {
  return {reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size()};
}

inline std::string FromData(capnp::Data::Reader data) {
  return {reinterpret_cast<const char*>(data.begin()), data.size()};
}

inline std::string FromText(capnp::Text::Reader text) {
  return {text.begin(), text.size()};
}

/// Converts `number` to an enumerator; throws UnknownEnumValue if it is above
/// `last`, the highest enumerator.
template <typename Enum>
Enum FromNumber(std::uint8_t number, Enum last) {
  if (number > static_cast<std::uint8_t>(last)) throw UnknownEnumValue();
  return static_cast<Enum>(number);
}

void Encode(const model::CallId& id, rpc::CallId::Builder builder);
model::CallId Decode(rpc::CallId::Reader reader);

void Encode(const model::DocumentRef& document,
            rpc::DocumentRef::Builder builder);
model::DocumentRef Decode(rpc::DocumentRef::Reader reader);

void Encode(const model::Holding& holding, rpc::Holding::Builder builder);
model::Holding Decode(rpc::Holding::Reader reader);

/// Encodes each holding into the list element of the same index.
void Encode(const std::vector<model::Holding>& holdings,
            capnp::List<rpc::Holding>::Builder list);
std::vector<model::Holding> Decode(capnp::List<rpc::Holding>::Reader list);

}  // namespace berylreach::transport
