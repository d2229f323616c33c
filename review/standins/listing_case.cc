// A deployment whose listing takes two pages. The store forgets its history,
// and goes silent while the hosts that read it list it anew. The configuration
// changes just before. Checks the rule CONFIG.
#include <algorithm>
#include <iostream>
#include <string>
#include <utility>

#include "case_support.h"
#include "deployment.h"

namespace review {
namespace {

using std::chrono::seconds;

/// An answer of the store, which is in another region (20 ms one way).
constexpr milliseconds kAnswerTime{44};

constexpr milliseconds kContact{6000};
constexpr milliseconds kConfigApply{6000};

constexpr milliseconds kDeafTime{1000};
constexpr milliseconds kSilentTime{4500};
/// The silence begins this long after the first page of a listing, of the
/// first listing whose first page comes at least kFirstListing after the loss
/// of the history. Hosts that read the store for others list it then.
constexpr milliseconds kIntoListing{15};
constexpr milliseconds kFirstListing{200};

constexpr char kOldService[] = "buckle-screen";
constexpr char kNewService[] = "hide-ledger";

Plan DeploymentPlan() {
  Plan plan = {
      .zones = {{"aarhus-a", "jylland", 5}, {"silkeborg-a", "jylland", 5}},
      .services = {{kOldService, 6}, {kNewService, 6}},
      .store_answer_time = kAnswerTime,
      .bounds = BoundsWith(kContact, kConfigApply)};
  for (int shard = 0; shard < 90; ++shard)
    plan.services["order-desk~" + std::to_string(shard)] = 3;
  for (int shard = 0; shard < 135; ++shard)
    plan.services["pattern-notes~" + std::to_string(shard)] = 3;
  return plan;
}

class ListingCase {
 public:
  explicit ListingCase(const std::string& record_path)
      : deployment_(DeploymentPlan(), record_path,
                    [this](Leaf& leaf, const HttpMessage& request) {
                      deployment_.record().Add(
                          "run " + request.Field("X-Request-Id") + " by " +
                          leaf.service() + " " + leaf.id());
                    }) {}

  int Run() {
    deployment_.store().Put(
        "op/config", ConfigurationTo(kOldService, 7, deployment_.plan()));
    if (!deployment_.Start()) return kNotRun;
    EventLoop& loop = deployment_.loop();
    callers_.Start();
    loop.RunFor(seconds(5));
    const Time acknowledged = ChangeConfiguration();
    Time calm = acknowledged;
    if (WithTrouble()) {
      if (!loop.RunUntil([this] { return silence_ended_; }, seconds(20))) {
        std::cout << "no host listed the store in two pages\n";
        return kNotRun;
      }
      calm = Clock::now();
    }
    // From here on the core is stable, the hosts are in touch, and the bound of
    // the configuration has passed.
    const Time check_from =
        std::max(acknowledged + kConfigApply, calm + kContact) + seconds(1);
    loop.RunUntil([&] { return Clock::now() >= check_from + seconds(8); },
                  seconds(40));
    callers_.Stop();
    loop.RunFor(seconds(4));
    return JudgeService(callers_, deployment_.record(), check_from,
                        kOldService);
  }

 private:
  /// Changes the configuration, with the trouble around it. Returns the time of
  /// the acknowledgement.
  Time ChangeConfiguration() {
    EventLoop& loop = deployment_.loop();
    if (WithTrouble()) {
      deployment_.record().Add("watches hear nothing");
      deployment_.store().SetDeaf(true);
      loop.After(kDeafTime, [this] { ForgetHistory(); });
    }
    loop.RunFor(milliseconds(300));
    deployment_.store().Put(
        "op/config", ConfigurationTo(kNewService, 19, deployment_.plan()));
    deployment_.record().Add("version 19 acknowledged");
    return Clock::now();
  }

  void ForgetHistory() {
    deployment_.record().Add("history forgotten, watches cut");
    Store& store = deployment_.store();
    store.SetDeaf(false);
    store.SetOnTruncatedPage([this, forgotten = Clock::now()] {
      if (Clock::now() < forgotten + kFirstListing) return;
      if (std::exchange(listing_seen_, true)) return;
      deployment_.loop().After(kIntoListing, [this] { GoSilent(); });
    });
    store.ForgetHistory();
  }

  void GoSilent() {
    deployment_.record().Add("store silent");
    deployment_.store().SetSilent(true);
    deployment_.loop().After(kSilentTime, [this] {
      deployment_.record().Add("store answers again");
      deployment_.store().SetSilent(false);
      silence_ended_ = true;
    });
  }

  Deployment deployment_;
  Callers callers_{deployment_.loop(), deployment_.record(),
                   deployment_.hosts(), "/fetch/order-"};
  bool listing_seen_ = false;
  bool silence_ended_ = false;
};

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  return review::RunCase<review::ListingCase>(argc, argv);
}
