// Counter of messages, bytes and CPU time of the hosts of a World.
#include "traffic_counter.h"

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <time.h>

#include <algorithm>

#include "peer_codec.h"

namespace berylreach::capacity {
namespace {

// In the order of the types of model::PeerMessage, since a name is looked up by
// the index of the type.
constexpr std::array<const char*, TrafficCounter::kTypes> kTypeNames{
    "Heartbeat",      "HeartbeatAck",  "LeafCall",      "LeafReply",
    "LeafCancel",     "OrderForward",  "OrderReply",    "LeafStates",
    "HostListUpdate", "SuspectUpdate", "DocumentOffer", "PartsRequest",
    "PartsReply",     "HeadUpdate",    "Release",       "SilenceNotice"};

static_assert(kTypeNames.back() != nullptr, "a message type has no name");

}  // namespace

const char* TypeName(std::size_t type) { return kTypeNames.at(type); }

std::chrono::nanoseconds ThreadCpuTime() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return std::chrono::seconds(time.tv_sec) +
         std::chrono::nanoseconds(time.tv_nsec);
}

std::size_t EncodedSize(const std::string& host,
                        const model::PeerMessage& message) {
  capnp::MallocMessageBuilder builder;
  auto envelope = builder.initRoot<transport::rpc::Envelope>();
  envelope.setFrom(host);
  transport::EncodeMessage(message, envelope);
  return capnp::computeSerializedSizeInWords(builder) * sizeof(capnp::word);
}

void TrafficCounter::OnPeerMessage(const std::string& from,
                                   const std::string& to,
                                   const model::PeerMessage& message) {
  const std::size_t bytes = EncodedSize(from, message);
  MessageTotals& sum = by_type_.at(message.index());
  ++sum.messages;
  sum.bytes += bytes;
  bytes_by_host_[from] += bytes;
  bytes_by_host_[to] += bytes;
}

void TrafficCounter::OnStoreCall(const std::string& /*host*/) {
  ++store_calls_;
}

void TrafficCounter::OnEventBegin() {
  ++events_;
  event_start_ = ThreadCpuTime();
}

void TrafficCounter::OnEventEnd() { cpu_ += ThreadCpuTime() - event_start_; }

TrafficCounter::MessageTotals TrafficCounter::Total() const {
  MessageTotals total;
  for (const MessageTotals& sum : by_type_) {
    total.messages += sum.messages;
    total.bytes += sum.bytes;
  }
  return total;
}

std::uint64_t TrafficCounter::MaxBytesOfOneHost() const {
  std::uint64_t max_bytes = 0;
  for (const auto& [host, bytes] : bytes_by_host_)
    max_bytes = std::max(max_bytes, bytes);
  return max_bytes;
}

}  // namespace berylreach::capacity
