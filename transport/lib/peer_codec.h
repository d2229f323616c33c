// Translation between model messages and their Cap'n Proto form.
#pragma once

#include <cstddef>
#include <optional>

#include "berylreach/model/envelope.h"
#include "generated/peer.capnp.h"

namespace berylreach::transport {

/// Writes `message` into the union of `builder`; sender fields are left as they
/// are.
void EncodeMessage(const model::PeerMessage& message,
                   rpc::Envelope::Builder builder);

/// Reads an envelope; nothing if it holds an unknown message type or an enum
/// value out of range.
std::optional<model::Envelope> DecodeEnvelope(rpc::Envelope::Reader reader);

/// Rough encoded size in bytes, used to bound batches.
std::size_t EstimateSize(const model::PeerMessage& message);

}  // namespace berylreach::transport
