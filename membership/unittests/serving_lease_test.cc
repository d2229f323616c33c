// Guards against leases that are extended by too few or invalid proofs: too few
// witnesses, other epochs or incarnations, or a newer document.
#include "berylreach/membership/serving_lease.h"

#include <gtest/gtest.h>

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "berylreach/membership/constants.h"

namespace berylreach::membership {
namespace {

constexpr std::uint64_t kEpoch = 4;

class ServingLeaseTest : public testing::Test {
 protected:
  ServingLeaseTest() {
    for (int i = 0; i < 3; ++i) {
      witnesses_.push_back(
          {{"witness" + std::to_string(i)}, 7, {"zone"}, "", ""});
    }
    lease_.StartEpoch(kEpoch, witnesses_);
    lease_.HeartbeatSent(1, sent_);
  }

  void Ack(int witness, std::uint64_t epoch = kEpoch,
           std::uint64_t incarnation = 7, std::uint64_t document = 0) {
    lease_.OnAck(
        witnesses_[witness].host, incarnation,
        model::HeartbeatAck{1, incarnation, epoch, true, {document, ""}, 0, 0});
  }

  bool Held() const { return lease_.expiry() == sent_ + kLeaseDuration; }

  const base::TimePoint sent_ = base::TimePoint(std::chrono::seconds(9));
  std::vector<model::Member> witnesses_;
  ServingLease lease_;
};

TEST_F(ServingLeaseTest, NeedsAMajorityAndStartsAtTheSendTime) {
  Ack(0);
  Ack(0);
  EXPECT_FALSE(Held());
  Ack(1);
  EXPECT_TRUE(Held());
}

TEST_F(ServingLeaseTest, IgnoresOtherEpochsAndIncarnations) {
  Ack(0);
  Ack(1, kEpoch + 1);
  Ack(2, kEpoch, 6);
  EXPECT_FALSE(Held());
}

TEST_F(ServingLeaseTest, AcksOfAnEarlierEpochDoNotCount) {
  Ack(0);
  lease_.StartEpoch(kEpoch + 1, witnesses_);
  Ack(1, kEpoch + 1);
  Ack(2, kEpoch + 1);
  EXPECT_FALSE(Held());
}

TEST_F(ServingLeaseTest, AckCountsOnceTheDocumentIsAsNew) {
  Ack(0);
  Ack(1, kEpoch, 7, 2);
  EXPECT_FALSE(Held());
  lease_.SetDocumentVersion(2);
  EXPECT_TRUE(Held());
}

TEST_F(ServingLeaseTest, StoreRenewalCountsOnceTheDocumentIsAsNew) {
  lease_.OnStoreRenewal(sent_, 2);
  EXPECT_FALSE(Held());
  lease_.SetDocumentVersion(2);
  EXPECT_TRUE(Held());
}

TEST_F(ServingLeaseTest, DropEndsTheLease) {
  lease_.OnStoreRenewal(sent_, 0);
  lease_.Drop();
  EXPECT_EQ(lease_.expiry(), base::TimePoint::min());
}

}  // namespace
}  // namespace berylreach::membership
