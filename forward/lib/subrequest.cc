// Call limits and log description of a subrequest.
#include "berylreach/forward/subrequest.h"

#include <algorithm>
#include <chrono>

namespace berylreach::forward {
namespace {

/// Maximum number of rejected calls after which a subrequest may be called
/// again.
constexpr std::size_t kMaxRejections = 3;

}  // namespace

std::size_t Subrequest::CountRunningCalls() const {
  return static_cast<std::size_t>(
      std::count_if(calls.begin(), calls.end(),
                    [](const SubrequestCall& call) { return call.running; }));
}

bool Subrequest::MayCallAgain(const Route& route) const {
  if (rejected > kMaxRejections) return false;
  if (!route.idempotent) return attempts_used == 0;
  return attempts_used < route.attempts;
}

std::string Subrequest::Describe(base::TimePoint now) const {
  std::string text = service == nullptr ? "unknown service" : service->name;
  text += ":";
  if (calls.empty()) text += " no leaf";
  for (const SubrequestCall& call : calls) {
    const auto age =
        std::chrono::duration_cast<std::chrono::milliseconds>(now - call.sent);
    text += " " + call.leaf->entry().id;
    text += call.running ? " unanswered " : " failed ";
    text += std::to_string(age.count());
  }
  return text;
}

}  // namespace berylreach::forward
