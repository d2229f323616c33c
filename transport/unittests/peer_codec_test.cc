// Guards against fields that are lost or mixed up between hosts.
#include "../lib/peer_codec.h"

#include <capnp/message.h>
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <limits>
#include <string>
#include <vector>

namespace berylreach::transport {
namespace {

std::string Bytes() { return *rc::gen::arbitrary<std::string>(); }

template <typename Number>
Number AnyNumber() {
  return *rc::gen::arbitrary<Number>();
}

template <typename Enum>
Enum UpTo(Enum last) {
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

std::uint64_t U64() { return AnyNumber<std::uint64_t>(); }
std::uint32_t U32() { return AnyNumber<std::uint32_t>(); }
bool Flag() { return AnyNumber<bool>(); }
std::int64_t I64() { return AnyNumber<std::int64_t>(); }
std::chrono::microseconds Us() { return std::chrono::microseconds(I64()); }
std::chrono::milliseconds Ms() { return std::chrono::milliseconds(I64()); }
model::CallId Id() { return {U64(), U64()}; }
model::DocumentRef Document() { return {U64(), Bytes()}; }
model::Holding AnyHolding() { return {U64(), U32(), U32()}; }

model::Member AnyMember() {
  return {{Bytes()}, U64(), {Bytes()}, Bytes(), Bytes()};
}

model::DocumentEntry AnyEntry() {
  return {Document(), Bytes(),
          std::chrono::system_clock::time_point(
              std::chrono::system_clock::duration(I64())),
          Bytes()};
}

model::CallerReply AnyReply() {
  if (Flag())
    return model::Refusal{UpTo(model::ErrorCode::kNoSnapshot), Bytes(),
                          UpTo(model::Ran::kRan), Ms()};
  model::Answer answer;
  answer.results = UpToThreeOf([] {
    return model::ShardResult{U32(), Bytes()};
  });
  answer.version = U64();
  answer.coverage.shards_answered = U32();
  answer.coverage.shards_total = U32();
  answer.coverage.missing = UpToThreeOf([] {
    return model::MissingShard{U32(), UpTo(model::MissingReason::kVersionGone)};
  });
  return answer;
}

model::LeafState AnyLeafState() {
  return {{Bytes()},
          {Bytes()},
          U64(),
          U64(),
          UpTo(model::LeafHealth::kDown),
          UpToThreeOf(AnyHolding)};
}

model::SuspectEntry AnySuspect() {
  return {U64(), UpTo(model::SuspectState::kBlocked), U32(), Ms(),
          UpToThreeOf(U64)};
}

model::HeadUpdate AnyHead() {
  model::HeadUpdate update;
  update.revision = U64();
  model::HeadRecord& record = update.record;
  record.epoch = U64();
  record.nonce = U64();
  record.writer = Bytes();
  record.members = UpToThreeOf(AnyMember);
  record.departed = UpToThreeOf([] {
    return model::Departed{AnyMember(), U64(), U32()};
  });
  record.document = Document();
  record.history = UpToThreeOf(AnyEntry);
  return update;
}

/// One message of each type, in the order of the variant.
std::vector<model::PeerMessage> AnyMessages() {
  using model::PeerMessage;
  return {
      model::Heartbeat{U64(), U64(), U64(), Document(), U64(), U64(), U64()},
      model::HeartbeatAck{U64(), U64(), U64(), Flag(), Document(), U64(),
                          U64()},
      model::LeafCall{Id(),
                      {Bytes()},
                      {Bytes()},
                      UpTo(model::RequestKind::kOrder),
                      U32(),
                      U32(),
                      U32(),
                      U64(),
                      Bytes(),
                      Bytes(),
                      U64(),
                      Us(),
                      Flag(),
                      Flag(),
                      Flag(),
                      Flag()},
      model::LeafReply{Id(),
                       {Bytes()},
                       UpTo(model::LeafOutcome::kNoSlot),
                       U64(),
                       U32(),
                       U32(),
                       Bytes(),
                       UpToThreeOf(AnyHolding),
                       U32(),
                       Ms()},
      model::LeafCancel{Id(), Flag()},
      model::OrderForward{
          Id(), {Bytes()}, Bytes(), Bytes(), I64(), Us(), I64()},
      model::OrderReply{Id(), AnyReply()},
      model::LeafStates{UpToThreeOf(AnyLeafState)},
      model::HostListUpdate{{U64(), UpToThreeOf([] {
                               return model::HostListEntry{Bytes(), Flag()};
                             })}},
      model::SuspectUpdate{UpToThreeOf(AnySuspect)},
      model::DocumentOffer{Document()},
      model::PartsRequest{UpToThreeOf(Bytes)},
      model::PartsReply{UpToThreeOf(Bytes)},
      AnyHead(),
      model::Release{U64(),
                     UpToThreeOf([] { return model::LeafName{Bytes()}; })},
      model::SilenceNotice{{Bytes()}, U64(), Flag(), {U64(), UpToThreeOf([] {
                                                        return model::LeafName{
                                                            Bytes()};
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

TEST(PeerCodecTest, RefusesEnumValuesOfANewerSender) {
  capnp::MallocMessageBuilder arena;
  auto builder = arena.initRoot<rpc::Envelope>();
  builder.initLeafReply().setOutcome(200);
  EXPECT_FALSE(DecodeEnvelope(builder.asReader()).has_value());
}

}  // namespace
}  // namespace berylreach::transport
