// The store is down for some seconds, silently, and the configuration changes
// right after it is back. Checks the rule CONFIG.
#include <iostream>
#include <string>
#include <utility>

#include "case_support.h"
#include "deployment.h"

namespace review {
namespace {

using std::chrono::seconds;

constexpr milliseconds kContact{5000};
constexpr milliseconds kConfigApply{4000};

/// From a renewal of a lease to the outage, and the length of the outage.
constexpr milliseconds kAfterRenewal{2000};
constexpr milliseconds kOutage{3000};
/// From the end of the outage to the change of the configuration.
constexpr milliseconds kBeforeChange{200};

constexpr char kOldService[] = "buckle-screen";
constexpr char kNewService[] = "hide-ledger";

Plan DeploymentPlan() {
  return {.zones = {{"aarhus-a", "jylland", 2},
                    {"odense-a", "fyn", 3},
                    {"koege-a", "sjaelland", 1}},
          .services = {{kOldService, 4}, {kNewService, 3}},
          .bounds = BoundsWith(kContact, kConfigApply)};
}

class LostWatchCase {
 public:
  explicit LostWatchCase(const std::string& record_path)
      : deployment_(DeploymentPlan(), record_path,
                    [this](Leaf& leaf, const HttpMessage& request) {
                      deployment_.record().Add(
                          "run " + request.Field("X-Request-Id") + " by " +
                          leaf.service() + " " + leaf.id());
                    }) {}

  int Run() {
    PutConfiguration(kOldService, 7);
    if (!deployment_.Start()) return kNotRun;
    EventLoop& loop = deployment_.loop();
    callers_.Start();
    loop.RunFor(kContact + seconds(3));
    if (!WaitForRenewal()) {
      std::cout << "no host renewed its lease\n";
      return kNotRun;
    }
    loop.RunFor(kAfterRenewal);
    SetSilent(true);
    loop.RunFor(kOutage);
    SetSilent(false);
    const Time back = Clock::now();
    loop.RunFor(kBeforeChange);
    PutConfiguration(kNewService, 19);
    // The bound of the configuration has passed before the core is stable.
    const Time check_from = back + kContact + milliseconds(50);
    loop.RunFor(kContact + seconds(6));
    callers_.Stop();
    loop.RunFor(seconds(4));
    return JudgeService(callers_, deployment_.record(), check_from,
                        kOldService);
  }

 private:
  void PutConfiguration(const char* service, std::uint64_t version) {
    deployment_.store().Put(
        "op/config", ConfigurationTo(service, version, deployment_.plan()));
    deployment_.record().Add("version " + std::to_string(version) +
                             " acknowledged: " + service);
  }

  bool WaitForRenewal() {
    bool renewed = false;
    deployment_.store().SetOnRenewal([&renewed] { renewed = true; });
    const bool seen =
        deployment_.loop().RunUntil([&] { return renewed; }, seconds(10));
    deployment_.store().SetOnRenewal({});
    return seen;
  }

  void SetSilent(bool silent) {
    if (!WithTrouble()) return;
    deployment_.store().SetSilent(silent);
    deployment_.record().Add(silent ? "store silent" : "store answers again");
  }

  Deployment deployment_;
  Callers callers_{deployment_.loop(), deployment_.record(),
                   deployment_.hosts(), "/fetch/order-"};
};

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  return review::RunCase<review::LostWatchCase>(argc, argv);
}
