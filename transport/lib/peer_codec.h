// Encodes and decodes the messages between hosts as Cap'n Proto envelopes.
#pragma once

#include <cstddef>
#include <optional>

#include "berylreach/model/envelope.h"
#include "generated/peer.capnp.h"

namespace berylreach::transport {

/// Writes `message` into the union of `builder` and leaves its sender fields
/// unchanged.
void EncodeMessage(const model::PeerMessage& message,
                   rpc::Envelope::Builder builder);

/// Decodes an envelope; nullopt if it holds an unknown message type or an enum
/// value out of range.
std::optional<model::Envelope> DecodeEnvelope(rpc::Envelope::Reader reader);

/// Approximate encoded size in bytes, used to limit the size of batches.
/// Counts the payloads and keys of leaf calls and forwarded orders, the results
/// of leaf replies and the parts of a PartsReply; all other fields count as a
/// fixed size per message.
std::size_t EstimateSize(const model::PeerMessage& message);

}  // namespace berylreach::transport
