// The two hosts of a zone that read the store for the others freeze, one after
// the other, while the zone is evacuated. Checks the rule EVAC for the other
// hosts.
#include <signal.h>

#include <iostream>
#include <map>
#include <string>

#include "case_support.h"
#include "deployment.h"

namespace review {
namespace {

using std::chrono::seconds;

constexpr milliseconds kContact{6000};
constexpr milliseconds kConfigApply{6000};
constexpr milliseconds kEvacuate{5000};

/// Each freeze, and from the start of the first to that of the second.
constexpr milliseconds kFreeze{3500};
constexpr milliseconds kSecondFreeze{2500};
/// From a version that changes nothing to the first freeze.
constexpr milliseconds kAfterVersion{300};
/// From the start of the first freeze to the evacuation.
constexpr milliseconds kBeforeEvacuation{100};

constexpr char kService[] = "buckle-screen";
constexpr char kZone[] = "aarhus-a";

Plan DeploymentPlan() {
  return {.zones = {{kZone, "jylland", 14, 2}, {"silkeborg-a", "jylland", 5}},
          .services = {{kService, 6}},
          .bounds = BoundsWith(kContact, kConfigApply)};
}

class FreezeCase {
 public:
  explicit FreezeCase(const std::string& record_path)
      : deployment_(DeploymentPlan(), record_path,
                    [this](Leaf& leaf, const HttpMessage& request) {
                      OnRun(leaf, request);
                    }) {}

  int Run() {
    deployment_.store().Put("op/config",
                            ConfigurationTo(kService, 7, deployment_.plan()));
    if (!deployment_.Start()) return kNotRun;
    EventLoop& loop = deployment_.loop();
    callers_.Start();
    loop.RunFor(kContact + seconds(3));
    deployment_.store().Put("op/config",
                            ConfigurationTo(kService, 19, deployment_.plan()));
    loop.RunFor(kAfterVersion);
    FreezeAfter(0, milliseconds(0));
    FreezeAfter(1, kSecondFreeze);
    loop.RunFor(kBeforeEvacuation);
    deployment_.store().Put(std::string("op/evacuate/") + kZone, "{}");
    deployment_.record().Add(std::string("evacuation acknowledged: ") + kZone);
    evacuated_ = Clock::now();
    loop.RunFor(seconds(12));
    callers_.Stop();
    loop.RunFor(seconds(4));
    return Judge();
  }

 private:
  /// Freezes a host, one of the first two, after `delay` for kFreeze.
  void FreezeAfter(std::size_t index, milliseconds delay) {
    if (!WithTrouble()) return;
    EventLoop& loop = deployment_.loop();
    const Host& host = *deployment_.hosts()[index];
    loop.After(delay, [this, &host] {
      deployment_.record().Add("freeze " + host.name());
      host.Signal(SIGSTOP);
    });
    loop.After(delay + kFreeze, [this, &host] {
      deployment_.record().Add("wake " + host.name());
      host.Signal(SIGCONT);
    });
  }

  void OnRun(const Leaf& leaf, const HttpMessage& request) {
    const std::string id = request.Field("X-Request-Id");
    deployment_.record().Add("run " + id + " by " + leaf.id() + " in " +
                             leaf.zone());
    ++runs_;
    const bool late = evacuated_ != Time() && leaf.zone() == kZone &&
                      Clock::now() > evacuated_ + kEvacuate;
    if (!late) return;
    for (const auto& sent : callers_.requests())
      if (sent->id == id) ++late_runs_[sent->host];
  }

  int Judge() {
    int late = 0;
    for (const auto& [host, count] : late_runs_) {
      // The frozen hosts are not in touch.
      if (host == deployment_.hosts()[0]->name() ||
          host == deployment_.hosts()[1]->name())
        continue;
      std::cout << host << " sent " << count
                << " requests to the evacuated zone\n";
      late += count;
    }
    const std::string result =
        std::to_string(late) + " requests reached the evacuated zone later " +
        "than " + std::to_string(kEvacuate.count()) + " ms after";
    std::cout << result << "\n";
    deployment_.record().Add(result);
    if (runs_ < 500) return kNotRun;
    return late > 0 ? kBroken : kHeld;
  }

  Deployment deployment_;
  Callers callers_{deployment_.loop(), deployment_.record(),
                   deployment_.hosts(), "/fetch/order-"};
  Time evacuated_{};
  int runs_ = 0;
  std::map<std::string, int> late_runs_;
};

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  return review::RunCase<review::FreezeCase>(argc, argv);
}
