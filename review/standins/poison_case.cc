// A caller repeats a request that crashes each leaf that begins to run it, with
// its machine, so that its address falls silent until the leaf is back. Checks
// the rule BUDGET on such requests.
#include <iostream>
#include <memory>
#include <string>
#include <vector>

#include "case_support.h"
#include "deployment.h"
#include "http.h"

namespace review {
namespace {

using std::chrono::seconds;

constexpr milliseconds kContact{5000};
constexpr milliseconds kConfigApply{4000};

/// From the crash of a leaf to its return.
constexpr milliseconds kDown{4000};
constexpr milliseconds kRepeatInterval{1000};
constexpr seconds kRunTime{40};
constexpr char kPath[] = "/fetch/order-666";
constexpr char kService[] = "buckle-screen";

/// Crashes, and later retries that reach leaves, that the rule allows.
constexpr int kFreeCrashes = 3;
constexpr int kMaxRetries = 3;

Plan DeploymentPlan() {
  return {.zones = {{"aarhus-a", "jylland", 2},
                    {"odense-a", "fyn", 3},
                    {"koege-a", "sjaelland", 1}},
          .services = {{kService, 4}},
          .bounds = BoundsWith(kContact, kConfigApply)};
}

/// One attempt of the repeated request.
struct Attempt {
  std::string id;
  Time sent;
  bool reached_leaf = false;
};

class PoisonCase {
 public:
  explicit PoisonCase(const std::string& record_path)
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
    loop.RunFor(kContact + seconds(1));
    SendAttempt();
    loop.RunFor(kRunTime);
    callers_.Stop();
    stopped_ = true;
    loop.RunFor(seconds(4));
    return Judge();
  }

 private:
  void SendAttempt() {
    if (stopped_) return;
    EventLoop& loop = deployment_.loop();
    const auto& host =
        *deployment_.hosts()[attempts_.size() % deployment_.hosts().size()];
    auto attempt = std::make_shared<Attempt>();
    attempt->id = "p" + std::to_string(attempts_.size());
    attempt->sent = Clock::now();
    attempts_.push_back(attempt);
    deployment_.record().Add("sent " + attempt->id + " to " + host.name());
    Fetch(loop, host.address(),
          std::string("GET ") + kPath +
              " HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: " +
              attempt->id + "\r\nX-Deadline-Ms: 3000\r\n\r\n",
          seconds(3), [this, attempt](std::optional<HttpMessage> response) {
            deployment_.record().Add(
                "answered " + attempt->id + ": " +
                std::to_string(response ? response->Status() : 0));
          });
    loop.After(kRepeatInterval, [this] { SendAttempt(); });
  }

  void OnRun(Leaf& leaf, const HttpMessage& request) {
    const std::string id = request.Field("X-Request-Id");
    deployment_.record().Add("run " + id + " by " + leaf.id());
    if (request.Word(1) != kPath) return;
    for (const auto& attempt : attempts_)
      if (attempt->id == id) attempt->reached_leaf = true;
    if (!WithTrouble()) return;
    ++crashes_;
    if (crashes_ == kFreeCrashes) third_crash_ = Clock::now();
    deployment_.record().Add("crash " + std::to_string(crashes_) + " of " +
                             leaf.id() + " under " + id);
    leaf.CrashSilently(deployment_.store(), kDown);
  }

  int Judge() {
    int retries = 0;
    for (const auto& attempt : attempts_)
      if (crashes_ >= kFreeCrashes && attempt->reached_leaf &&
          attempt->sent > third_crash_ + kContact)
        ++retries;
    int lost = 0;
    for (const auto& request : callers_.requests())
      if (request->status == 0 || request->status == 504 ||
          request->status == 502)
        ++lost;
    const std::string result =
        std::to_string(crashes_) + " crashes; " + std::to_string(retries) +
        " retries reached leaves more than " +
        std::to_string(kContact.count()) + " ms after the third; " +
        std::to_string(lost) + " of " +
        std::to_string(callers_.requests().size()) +
        " other requests were answered 502, 504 or not at all";
    std::cout << result << "\n";
    deployment_.record().Add(result);
    if (attempts_.size() < 10) return kNotRun;
    return retries > kMaxRetries ? kBroken : kHeld;
  }

  Deployment deployment_;
  Callers callers_{deployment_.loop(), deployment_.record(),
                   deployment_.hosts(), "/fetch/order-"};
  std::vector<std::shared_ptr<Attempt>> attempts_;
  int crashes_ = 0;
  Time third_crash_;
  bool stopped_ = false;
};

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  return review::RunCase<review::PoisonCase>(argc, argv);
}
