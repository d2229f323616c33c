// A host's registration is written late under a lease that nobody renews, so
// that its record is removed although the host lives. Checks a tenant's quota.
#include "../standins-2/quota_deployment.h"

namespace {

using namespace standin;

/// Time after which the write that got no answer is executed.
constexpr milliseconds kLate{5200};

int Play(const std::string& folder, const std::string& program) {
  std::atomic<bool> loses_write = false;
  // Its threads run until the process ends, so it is not destroyed.
  auto& deployment = *new QuotaDeployment(
      folder, program, [&](const std::string& key) -> WriteFate {
        if (!key.ends_with("front-a-1") || !loses_write.exchange(false))
          return {};
        return {.answered = false, .delay = kLate};
      });
  Record& record = deployment.record();
  if (!deployment.Begin()) return 2;
  deployment.Wait(milliseconds(5000));

  Host& host = *deployment.hosts().front();
  record.Say("planned: front-a-1 is stopped and started again");
  host.Signal(SIGTERM);
  if (!host.WaitForEnd(milliseconds(6500))) host.Kill();
  if (HasTrouble()) {
    loses_write = true;
    record.Say("the first write of front-a-1 gets no answer and runs " +
               std::to_string(kLate.count()) + " ms later");
  }
  host.Start();
  deployment.Wait(milliseconds(50000));
  return deployment.End();
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 3) return 2;
  signal(SIGPIPE, SIG_IGN);
  const int result = Play(argv[1], argv[2]);
  std::fflush(stdout);
  _exit(result);
}
