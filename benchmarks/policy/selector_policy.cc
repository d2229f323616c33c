// The choice of forward::LeafSelector.

#include "berylreach/forward/leaf_selector.h"
#include "choice_policy.h"

namespace berylreach::bench {
namespace {

std::string ServiceName(std::size_t service) {
  return "s" + std::to_string(service);
}
std::string LeafName(std::size_t service, std::size_t replica) {
  return ServiceName(service) + "-" + std::to_string(replica);
}

/// What one host knows.
struct Host {
  Host(const base::Clock& clock, const ChoiceDeployment& deployment,
       std::size_t index)
      : directory(clock, LocationOf(index)),
        cold(clock, {}),
        shares(clock),
        rate(shares),
        selector(clock, directory, cold, rate, shares) {
    for (std::size_t service = 0; service < deployment.services; ++service)
      for (std::size_t replica = 0; replica < deployment.replicas; ++replica)
        if (deployment.IsListed(service, replica))
          directory.Put({.id = LeafName(service, replica),
                         .service = ServiceName(service),
                         .address = "0:0",
                         .zone = "z" + std::to_string(replica),
                         .slots = deployment.slots});
  }

  static forward::Location LocationOf(std::size_t index) {
    return {.zone = "z" + std::to_string(index % 3),
            .region = "r",
            .region_of_zone = {{"z0", "r"}, {"z1", "r"}, {"z2", "r"}}};
  }

  forward::LeafDirectory directory;
  forward::ColdCallLimit cold;
  forward::ServiceShares shares;
  forward::LeafRateLimit rate;
  forward::LeafSelector selector;
};

class SelectorPolicy : public ChoicePolicy {
 public:
  SelectorPolicy(const base::Clock& clock, const ChoiceDeployment& deployment,
                 RouteUse use)
      : clock_(clock), use_(use) {
    for (std::size_t host = 0; host < deployment.hosts; ++host)
      hosts_.push_back(std::make_unique<Host>(clock, deployment, host));
    for (std::size_t i = 0; i < deployment.services; ++i)
      services_.push_back({.name = ServiceName(i), .max_connections = 100000});
  }

  void Choose(ChoiceCall& call, std::mt19937_64& random) override {
    Host& host = *hosts_[call.host];
    const auto route =
        use_ == RouteUse::kNone
            ? nullptr
            : host.selector.latencies().Of(std::to_string(call.route), "");
    const auto leaf = host.selector.Choose(
        {.service = &services_[call.service],
         .seed = random(),
         .may_be_trial = true,
         .route = use_ == RouteUse::kChoice ? route.get() : nullptr});
    call.replica = static_cast<std::size_t>(leaf->entry().id.back() - '0');
    host.selector.OnSent(*leaf, clock_.Now(), route);
  }

  void OnAnswer(const ChoiceCall& call) override {
    hosts_[call.host]
        ->directory.Find(LeafName(call.service, call.replica))
        ->OnCallEnded(call.sent, clock_.Now(), forward::CallOutcome::kAnswered);
  }

 private:
  const base::Clock& clock_;
  RouteUse use_;
  std::vector<std::unique_ptr<Host>> hosts_;
  std::vector<forward::Service> services_;
};

}  // namespace

std::unique_ptr<ChoicePolicy> MakeSelectorPolicy(
    const base::Clock& clock, const ChoiceDeployment& deployment,
    RouteUse use) {
  return std::make_unique<SelectorPolicy>(clock, deployment, use);
}

}  // namespace berylreach::bench
