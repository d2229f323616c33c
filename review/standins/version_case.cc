// An operator numbers the versions of the configuration by the time of day in
// milliseconds and moves a route to another service. Checks the rule CONFIG.
#include <chrono>
#include <cstdlib>
#include <iostream>
#include <string>

#include "case_support.h"
#include "deployment.h"

namespace review {
namespace {

using std::chrono::seconds;

constexpr milliseconds kContact{5000};
constexpr milliseconds kConfigApply{4000};

constexpr char kOldService[] = "buckle-screen";
constexpr char kNewService[] = "hide-ledger";

Plan DeploymentPlan() {
  return {.zones = {{"aarhus-a", "jylland", 2},
                    {"odense-a", "fyn", 3},
                    {"koege-a", "sjaelland", 1}},
          .services = {{kOldService, 4}, {kNewService, 3}},
          .bounds = BoundsWith(kContact, kConfigApply)};
}

/// The first version. FIRST_VERSION in the environment sets another one.
std::uint64_t FirstVersion() {
  if (const char* text = std::getenv("FIRST_VERSION"))
    return std::strtoull(text, nullptr, /*base=*/10);
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<milliseconds>(now).count());
}

class VersionCase {
 public:
  explicit VersionCase(const std::string& record_path)
      : deployment_(DeploymentPlan(), record_path,
                    [this](Leaf& leaf, const HttpMessage& request) {
                      deployment_.record().Add(
                          "run " + request.Field("X-Request-Id") + " by " +
                          leaf.service() + " " + leaf.id());
                    }) {}

  int Run() {
    const std::uint64_t first = FirstVersion();
    PutConfiguration(kOldService, first);
    if (!deployment_.Start()) return kNotRun;
    EventLoop& loop = deployment_.loop();
    callers_.Start();
    loop.RunFor(kContact + seconds(3));
    if (WithTrouble()) {
      const auto step = kContact + seconds(3);
      PutConfiguration(kNewService,
                       first + static_cast<std::uint64_t>(step.count()) * 1000);
    }
    const Time check_from = Clock::now() + kConfigApply + milliseconds(500);
    loop.RunFor(kConfigApply + seconds(10));
    callers_.Stop();
    loop.RunFor(seconds(4));
    // Without the change, no service is the old one.
    return JudgeService(callers_, deployment_.record(), check_from,
                        WithTrouble() ? kOldService : kNewService);
  }

 private:
  void PutConfiguration(const char* service, std::uint64_t version) {
    deployment_.store().Put(
        "op/config", ConfigurationTo(service, version, deployment_.plan()));
    deployment_.record().Add("version " + std::to_string(version) +
                             " acknowledged: " + service);
  }

  Deployment deployment_;
  Callers callers_{deployment_.loop(), deployment_.record(),
                   deployment_.hosts(), "/fetch/order-"};
};

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  return review::RunCase<review::VersionCase>(argc, argv);
}
