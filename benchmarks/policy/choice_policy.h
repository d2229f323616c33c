// Policies that choose the leaf for a call.
#pragma once

#include <cstddef>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "berylreach/base/clock.h"

namespace berylreach::bench {

/// The leaves of one service, and the hosts that call them.
struct ChoiceDeployment {
  std::size_t hosts = 1;
  std::size_t services = 1;
  /// Leaves of each service; leaf i of a service is in zone i.
  std::size_t replicas = 3;
  std::size_t slots = 2;
  /// The last service has only one leaf left.
  bool IsListed(std::size_t service, std::size_t replica) const {
    return service + 1 < services || replica == 0;
  }
};

/// One call of a host to a leaf.
struct ChoiceCall {
  std::size_t host = 0;
  std::size_t service = 0;
  std::size_t replica = 0;
  std::size_t route = 0;
  base::TimePoint sent{};
};

/// Chooses leaves for all hosts; the hosts share nothing.
class ChoicePolicy {
 public:
  virtual ~ChoicePolicy() = default;

  /// Sets the replica of the call, and records that it is sent.
  virtual void Choose(ChoiceCall& call, std::mt19937_64& random) = 0;
  /// Records the answer to a call.
  virtual void OnAnswer(const ChoiceCall& call) = 0;
};

/// What forward::LeafSelector uses the estimates by route for: nothing, to tell
/// overdue calls, or to compare leaves too.
enum class RouteUse { kNone, kOverdue, kChoice };

/// The choice of forward::LeafSelector.
std::unique_ptr<ChoicePolicy> MakeSelectorPolicy(
    const base::Clock& clock, const ChoiceDeployment& deployment, RouteUse use);

/// Names of the policies that MakePolicy knows.
std::vector<std::string> PolicyNames();
std::unique_ptr<ChoicePolicy> MakePolicy(const std::string& name,
                                         const base::Clock& clock,
                                         const ChoiceDeployment& deployment);

}  // namespace berylreach::bench
