// Counting of messages, bytes and CPU time.
#include "traffic_count.h"

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <time.h>

#include <algorithm>

#include "peer_codec.h"

namespace berylreach::capacity {
namespace {

constexpr std::array<const char*, TrafficCount::kTypes> kTypeNames{
    "Heartbeat",      "HeartbeatAck",  "LeafCall",      "LeafReply",
    "LeafCancel",     "OrderForward",  "OrderReply",    "LeafStates",
    "HostListUpdate", "SuspectUpdate", "DocumentOffer", "PartsRequest",
    "PartsReply",     "HeadUpdate",    "Release",       "SilenceNotice"};

static_assert(kTypeNames.back() != nullptr, "a message type has no name");

}  // namespace

const char* TypeName(std::size_t type) { return kTypeNames.at(type); }

std::chrono::nanoseconds ThreadCpu() {
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

void TrafficCount::OnPeerMessage(const std::string& from, const std::string& to,
                                 const model::PeerMessage& message) {
  const std::size_t bytes = EncodedSize(from, message);
  Sum& sum = by_type_.at(message.index());
  ++sum.messages;
  sum.bytes += bytes;
  bytes_of_[from] += bytes;
  bytes_of_[to] += bytes;
}

void TrafficCount::OnStoreCall(const std::string& /*host*/) { ++store_calls_; }

void TrafficCount::OnEventBegin() {
  ++events_;
  event_began_ = ThreadCpu();
}

void TrafficCount::OnEventEnd() { cpu_ += ThreadCpu() - event_began_; }

TrafficCount::Sum TrafficCount::Total() const {
  Sum total;
  for (const Sum& sum : by_type_) {
    total.messages += sum.messages;
    total.bytes += sum.bytes;
  }
  return total;
}

std::uint64_t TrafficCount::MostBytesOfOneHost() const {
  std::uint64_t most = 0;
  for (const auto& [host, bytes] : bytes_of_) most = std::max(most, bytes);
  return most;
}

}  // namespace berylreach::capacity
