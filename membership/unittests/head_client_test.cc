// Guards against an applied write that does not count because its answer was
// lost, and against a stale read that replaces a newer head record.
#include "berylreach/membership/head_client.h"

#include <gtest/gtest.h>

#include <chrono>
#include <cstdint>
#include <variant>

#include "berylreach/membership/constants.h"

namespace berylreach::membership {
namespace {

using model::StoreOutcome;

class HeadClientTest : public testing::Test {
 protected:
  HeadClientTest() {
    head_.epoch = 3;
    client_.StartRead(now_, out_);
    client_.OnRead(std::get<ReadHead>(out_.back()).id, StoreOutcome::kOk, head_,
                   10, now_);
  }

  CasHead Write() {
    client_.StartWrite(client_.record(), now_, out_);
    return std::get<CasHead>(out_.back());
  }

  void ReadBack(const model::HeadRecord& record, std::uint64_t revision) {
    client_.StartRead(now_, out_);
    client_.OnRead(std::get<ReadHead>(out_.back()).id, StoreOutcome::kOk,
                   record, revision, now_);
  }

  base::TimePoint now_ = base::TimePoint(std::chrono::seconds(9));
  model::HeadRecord head_;
  HeadClient client_{5};
  Actions out_;
};

TEST_F(HeadClientTest, LostAnswerIsResolvedByTheNonce) {
  const CasHead write = Write();
  client_.OnWrite(write.id, StoreOutcome::kUnknown, 0, now_);
  EXPECT_FALSE(
      client_.Ready(now_ + kStoreRetryInterval - std::chrono::milliseconds(1)));
  EXPECT_TRUE(client_.NeedsRead());
  ReadBack(write.record, 11);
  const auto applied = client_.TakeAppliedWrite();
  ASSERT_TRUE(applied.has_value());
  EXPECT_EQ(applied->started, now_);
}

TEST_F(HeadClientTest, RecordOfAnotherWriterProvesNothing) {
  client_.OnWrite(Write().id, StoreOutcome::kUnknown, 0, now_);
  ReadBack(head_, 11);
  EXPECT_FALSE(client_.TakeAppliedWrite().has_value());
  EXPECT_FALSE(client_.HasOpenWrite());
}

TEST_F(HeadClientTest, OlderHeadIsIgnored) {
  model::HeadRecord stale = head_;
  stale.epoch = 2;
  EXPECT_FALSE(client_.UpdateIfNewer(stale, 9));
  EXPECT_FALSE(client_.UpdateIfNewer(stale, 12));
  EXPECT_EQ(client_.record().epoch, 3U);
  EXPECT_EQ(client_.revision(), 10U);
}

TEST_F(HeadClientTest, StaleReadAfterAConflictIsRepeatedLater) {
  client_.OnWrite(Write().id, StoreOutcome::kConflict, 0, now_);
  EXPECT_TRUE(client_.Ready(now_));
  ReadBack(head_, 10);
  EXPECT_TRUE(client_.NeedsRead());
  EXPECT_FALSE(client_.Ready(now_));
  ReadBack(head_, 11);
  EXPECT_FALSE(client_.NeedsRead());
}

}  // namespace
}  // namespace berylreach::membership
