// Guards against message fields that the codec omits or swaps, and against enum
// values that are accepted although this build does not know them.
#include "../lib/peer_codec.h"

#include <capnp/message.h>
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <limits>
#include <string>
#include <vector>

namespace berylreach::transport {
namespace {

std::string AnyBytes() { return *rc::gen::arbitrary<std::string>(); }

template <typename Number>
Number AnyNumber() {
  return *rc::gen::arbitrary<Number>();
}

template <typename Enum>
Enum AnyEnumUpTo(Enum last) {
  return static_cast<Enum>(
      *rc::gen::inRange<int>(0, static_cast<int>(last) + 1));
}

template <typename Make>
auto UpToThreeOf(Make make) {
  std::vector<decltype(make())> items;
  const int count = *rc::gen::inRange(0, 4);
  for (int i = 0; i < count; ++i) items.push_back(make());
  return items;
}

std::uint64_t AnyUint64() { return AnyNumber<std::uint64_t>(); }
std::uint32_t AnyUint32() { return AnyNumber<std::uint32_t>(); }
bool AnyBool() { return AnyNumber<bool>(); }
std::int64_t AnyInt64() { return AnyNumber<std::int64_t>(); }
std::chrono::microseconds AnyMicroseconds() {
  return std::chrono::microseconds(AnyInt64());
}
std::chrono::milliseconds AnyMilliseconds() {
  return std::chrono::milliseconds(AnyInt64());
}
model::CallId AnyCallId() { return {AnyUint64(), AnyUint64()}; }
model::DocumentRef AnyDocumentRef() { return {AnyUint64(), AnyBytes()}; }
model::Holding AnyHolding() { return {AnyUint64(), AnyUint32(), AnyUint32()}; }

model::Member AnyMember() {
  return {{AnyBytes()}, AnyUint64(), {AnyBytes()}, AnyBytes(), AnyBytes()};
}

model::DocumentEntry AnyDocumentEntry() {
  return {AnyDocumentRef(), AnyBytes(),
          std::chrono::system_clock::time_point(
              std::chrono::system_clock::duration(AnyInt64())),
          AnyBytes()};
}

model::CallerReply AnyCallerReply() {
  if (AnyBool())
    return model::Refusal{AnyEnumUpTo(model::ErrorCode::kNoSnapshot),
                          AnyBytes(), AnyEnumUpTo(model::ExecutionStatus::kRan),
                          AnyMilliseconds()};
  model::Answer answer;
  answer.results = UpToThreeOf([] {
    return model::ShardResult{AnyUint32(), AnyBytes()};
  });
  answer.version = AnyUint64();
  answer.coverage.shards_answered = AnyUint32();
  answer.coverage.shards_total = AnyUint32();
  answer.coverage.missing = UpToThreeOf([] {
    return model::MissingShard{AnyUint32(),
                               AnyEnumUpTo(model::MissingReason::kVersionGone)};
  });
  return answer;
}

model::LeafState AnyLeafState() {
  return {{AnyBytes()},
          {AnyBytes()},
          AnyUint64(),
          AnyUint64(),
          AnyEnumUpTo(model::LeafHealth::kDown),
          UpToThreeOf(AnyHolding)};
}

model::SuspectEntry AnySuspectEntry() {
  return {AnyUint64(), AnyEnumUpTo(model::SuspectState::kBlocked), AnyUint32(),
          AnyMilliseconds(), UpToThreeOf(AnyUint64)};
}

model::HeadUpdate AnyHeadUpdate() {
  model::HeadUpdate update;
  update.revision = AnyUint64();
  model::HeadRecord& record = update.record;
  record.epoch = AnyUint64();
  record.nonce = AnyUint64();
  record.writer = AnyBytes();
  record.members = UpToThreeOf(AnyMember);
  record.removed_hosts = UpToThreeOf([] {
    return model::RemovedHost{AnyMember(), AnyUint64(), AnyUint32()};
  });
  record.document = AnyDocumentRef();
  record.history = UpToThreeOf(AnyDocumentEntry);
  return update;
}

/// One message of each type, in the order of the variant.
std::vector<model::PeerMessage> AnyMessages() {
  using model::PeerMessage;
  return {
      model::Heartbeat{AnyUint64(), AnyUint64(), AnyUint64(), AnyDocumentRef(),
                       AnyUint64(), AnyUint64(), AnyUint64()},
      model::HeartbeatAck{AnyUint64(), AnyUint64(), AnyUint64(), AnyBool(),
                          AnyDocumentRef(), AnyUint64(), AnyUint64()},
      model::LeafCall{AnyCallId(),
                      {AnyBytes()},
                      {AnyBytes()},
                      AnyEnumUpTo(model::RequestKind::kOrder),
                      AnyUint32(),
                      AnyUint32(),
                      AnyUint32(),
                      AnyUint64(),
                      AnyBytes(),
                      AnyBytes(),
                      AnyUint64(),
                      AnyMicroseconds(),
                      AnyBool(),
                      AnyBool(),
                      AnyBool(),
                      AnyBool()},
      model::LeafReply{AnyCallId(),
                       {AnyBytes()},
                       AnyEnumUpTo(model::LeafOutcome::kNoSlot),
                       AnyUint64(),
                       AnyUint32(),
                       AnyUint32(),
                       AnyBytes(),
                       UpToThreeOf(AnyHolding),
                       AnyUint32(),
                       AnyMilliseconds()},
      model::LeafCancel{AnyCallId(), AnyBool()},
      model::OrderForward{AnyCallId(),
                          {AnyBytes()},
                          AnyBytes(),
                          AnyBytes(),
                          AnyInt64(),
                          AnyMicroseconds(),
                          AnyInt64()},
      model::OrderReply{AnyCallId(), AnyCallerReply()},
      model::LeafStates{UpToThreeOf(AnyLeafState)},
      model::HostListUpdate{
          {AnyUint64(), UpToThreeOf([] {
             return model::HostListEntry{AnyBytes(), AnyBool()};
           })}},
      model::SuspectUpdate{UpToThreeOf(AnySuspectEntry)},
      model::DocumentOffer{AnyDocumentRef()},
      model::PartsRequest{UpToThreeOf(AnyBytes)},
      model::PartsReply{UpToThreeOf(AnyBytes)},
      AnyHeadUpdate(),
      model::Release{AnyUint64(),
                     UpToThreeOf([] { return model::LeafName{AnyBytes()}; })},
      model::SilenceNotice{
          {AnyBytes()}, AnyUint64(), AnyBool(), {AnyUint64(), UpToThreeOf([] {
                                                   return model::LeafName{
                                                       AnyBytes()};
                                                 })}},
  };
}

TEST(PeerCodecTest, RoundTripKeepsEveryFieldOfEveryMessage) {
  EXPECT_TRUE(rc::check("round trip", [] {
    const auto messages = AnyMessages();
    RC_ASSERT(messages.size() == std::variant_size_v<model::PeerMessage>);
    for (std::size_t i = 0; i < messages.size(); ++i) {
      RC_ASSERT(messages[i].index() == i);
      capnp::MallocMessageBuilder arena;
      auto builder = arena.initRoot<rpc::Envelope>();
      builder.setFrom("host");
      builder.setIncarnation(9);
      EncodeMessage(messages[i], builder);
      const auto decoded = DecodeEnvelope(builder.asReader());
      RC_ASSERT(decoded.has_value());
      RC_ASSERT(*decoded == (model::Envelope{{"host"}, 9, messages[i]}));
    }
  }));
}

TEST(PeerCodecTest, RejectsUnknownEnumValues) {
  capnp::MallocMessageBuilder arena;
  auto builder = arena.initRoot<rpc::Envelope>();
  builder.initLeafReply().setOutcome(200);
  EXPECT_FALSE(DecodeEnvelope(builder.asReader()).has_value());
}

}  // namespace
}  // namespace berylreach::transport
