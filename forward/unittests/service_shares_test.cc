// Guards against limits that hosts exceed together. Many hosts share the limits
// of leaves that few of them call, and learn of changes at different times.
#include "berylreach/forward/service_shares.h"

#include <gtest/gtest.h>

#include <memory>

#include "berylreach/base/manual_clock.h"

namespace berylreach::forward {
namespace {

constexpr RoleShares kRoleShares{.owners = 0.3,
                                 .coordinators = 0.3,
                                 .new_coordinators = 0.15,
                                 .hosts = 0.25};

class ServiceSharesTest : public testing::Test {
 protected:
  static constexpr std::size_t kHosts = 200;
  static constexpr std::size_t kOwners = 3;

  ServiceSharesTest() {
    clock_.Advance(std::chrono::hours(1));
    for (std::size_t i = 0; i < kHosts; ++i) {
      hosts_.push_back(std::make_unique<ServiceShares>(clock_));
      hosts_.back()->SetHosts(kHosts);
    }
  }

  static std::string Name(std::size_t host) { return std::to_string(host); }

  /// Sets the coordinators that a host knows: `first` and the 17 after it. The
  /// first kOwners of them own the service.
  void AnnounceCoordinators(std::size_t host, std::size_t first) {
    std::vector<std::string> names;
    for (std::size_t i = first; i < first + 18; ++i) names.push_back(Name(i));
    hosts_[host]->SetCoordinators(Name(host), names);
    hosts_[host]->SetCallingHosts(
        {{"s",
          {.owners = kOwners,
           .is_owner = host >= first && host < first + kOwners}}});
  }
  void AnnounceToAll(std::size_t first) {
    for (std::size_t i = 0; i < kHosts; ++i) AnnounceCoordinators(i, first);
  }

  double Sum() const {
    double sum = 0;
    for (const auto& host : hosts_) sum += host->ShareOf("s", kRoleShares);
    return sum;
  }

  base::ManualClock clock_;
  std::vector<std::unique_ptr<ServiceShares>> hosts_;
};

TEST_F(ServiceSharesTest, UndividedServiceIsSharedEqually) {
  EXPECT_DOUBLE_EQ(hosts_[0]->ShareOf("s", kRoleShares), 1.0 / kHosts);
}

// Guards against hosts without a share, which could not run a whole request
// themselves.
TEST_F(ServiceSharesTest, OwnersGetTheLargestShareAndEveryHostSome) {
  AnnounceToAll(0);
  clock_.Advance(ServiceShares::kSettleTime);
  const double owner = hosts_[0]->ShareOf("s", kRoleShares);
  const double coordinator = hosts_[10]->ShareOf("s", kRoleShares);
  const double other = hosts_[100]->ShareOf("s", kRoleShares);
  EXPECT_GT(owner, 4 * coordinator);
  EXPECT_GT(coordinator, 4 * other);
  EXPECT_GT(other, 0);
  EXPECT_NEAR(Sum(), 1 - kRoleShares.new_coordinators, 1e-9);
}

// Guards against limits that are exceeded while hosts disagree about the
// coordinators, in whatever order they learn of a change.
TEST_F(ServiceSharesTest, SumIsBoundedWhileHostsLearnOfNewCoordinators) {
  AnnounceToAll(0);
  clock_.Advance(ServiceShares::kSettleTime);
  for (std::size_t notified = 0; notified < kHosts; ++notified) {
    AnnounceCoordinators((notified * 37) % kHosts, 50);
    EXPECT_LE(Sum(), 1 + 1e-9) << notified;
    clock_.Advance(std::chrono::milliseconds(20));
  }
  EXPECT_LE(Sum(), 1 + 1e-9);
  clock_.Advance(ServiceShares::kSettleTime);
  EXPECT_NEAR(Sum(), 1 - kRoleShares.new_coordinators, 1e-9);
}

// Guards against shares that are reduced because the list of coordinators was
// reordered.
TEST_F(ServiceSharesTest, SameCoordinatorsInAnotherOrderAreNoChange) {
  ServiceShares& shares = *hosts_[0];
  shares.SetCallingHosts({{"s", {.owners = 1, .is_owner = true}}});
  shares.SetCoordinators("0", {"0", "1"});
  clock_.Advance(ServiceShares::kSettleTime);
  const double settled = shares.ShareOf("s", kRoleShares);
  shares.SetCoordinators("0", {"1", "0"});
  EXPECT_DOUBLE_EQ(shares.ShareOf("s", kRoleShares), settled);
}

}  // namespace
}  // namespace berylreach::forward
