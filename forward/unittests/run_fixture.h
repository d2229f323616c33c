// Fixture that runs requests in virtual time; tests supply the answers of the
// leaves.
#pragma once

#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "berylreach/base/manual_clock.h"
#include "berylreach/forward/request_run.h"

namespace berylreach::forward {

using std::chrono::milliseconds;

/// A deployment with a scattering route and a route to one leaf.
class RunFixture : public testing::Test {
 protected:
  explicit RunFixture(std::size_t shards = 4)
      : directory_(clock_, {.zone = "a",
                            .region = "ra",
                            .region_of_zone = {{"a", "ra"}, {"b", "rb"}}}),
        cold_(clock_, {.overage = 1.5, .slack = 5}),
        shares_(clock_),
        rate_(shares_),
        selector_(clock_, directory_, cold_, rate_, shares_),
        budget_(clock_, {.ratio = 0.2, .slack = 50}, shares_),
        context_{clock_,
                 selector_,
                 budget_,
                 16,
                 [this] { return ++calls_; },
                 [this](const LeafRecord& host) {
                   return !unconnected_.contains(host.entry().id);
                 },
                 [this](CallId call) { return unsent_.contains(call); }} {
    clock_.Advance(std::chrono::hours(1));
    cold_.SetHosts("host", {"host"});
    route_.name = "search";
    route_.host = "h";
    route_.prefix = "/s/";
    route_.idempotent = true;
    route_.timeout = milliseconds(1000);
    route_.objective = milliseconds(150);
    route_.attempts = 2;
    route_.top_records = 2;
    route_.minimum_coverage = 0.75;
    for (std::size_t i = 0; i < shards; ++i) {
      const std::string shard = "s" + std::to_string(i);
      route_.shards.push_back(shard);
      services_.push_back({.name = shard, .max_connections = 25});
      PutLeaf(shard + "-a", shard, "a");
      PutLeaf(shard + "-b", shard, "b");
    }
    single_leaf_route_.name = "fetch";
    single_leaf_route_.host = "h";
    single_leaf_route_.prefix = "/f/";
    single_leaf_route_.idempotent = false;
    single_leaf_route_.timeout = milliseconds(3000);
    single_leaf_route_.objective = milliseconds(300);
    single_leaf_route_.attempts = 2;
    single_leaf_route_.services = {{"fetch", 1}};
    services_.push_back({.name = "fetch", .max_connections = 25});
    PutLeaf("f-a", "fetch", "a");
    PutLeaf("f-b", "fetch", "b");
  }

  void PutLeaf(const std::string& id, const std::string& service,
               const std::string& zone) {
    directory_.Put({.id = id,
                    .service = service,
                    .address = "127.0.0.1:1",
                    .zone = zone,
                    .slots = 2});
  }

  void StartRun(const Route& route,
                milliseconds caller_timeout = milliseconds(1000)) {
    MakeRun(route, caller_timeout);
    run_->Start(actions_);
    CollectActions();
  }

  /// Creates a run without starting it.
  void MakeRun(const Route& route,
               milliseconds caller_timeout = milliseconds(1000)) {
    auto table = std::make_shared<RouteTable>(
        Configuration{.version = 1, .routes = {route}, .services = services_});
    const Route& table_route = table->configuration().routes[0];
    const std::string service =
        route.services.empty() ? "" : route.services[0].service;
    run_ = std::make_unique<RequestRun>(
        context_, std::move(table), table_route, service,
        CallerRequest{.id = "r1",
                      .method = "GET",
                      .target = "/s/1",
                      .received = clock_.Now(),
                      .caller_timeout = caller_timeout});
  }

  /// Sorts new actions into started_, groups_, reports_ and reply_, and counts
  /// those that abandon a group.
  void CollectActions() {
    for (RunAction& action : actions_) {
      if (auto* call = std::get_if<StartLeafCall>(&action)) {
        started_.push_back(std::move(*call));
      } else if (auto* group = std::get_if<StartGroupCall>(&action)) {
        groups_.push_back(std::move(*group));
      } else if (std::holds_alternative<AbandonGroupCall>(action)) {
        ++abandoned_;
      } else if (auto* report = std::get_if<ReportProgress>(&action)) {
        reports_.push_back(std::move(report->reply));
      } else {
        ASSERT_FALSE(reply_) << "the run gave a second final answer";
        reply_ = std::move(std::get<FinishRequest>(action).reply);
      }
    }
    actions_.clear();
  }

  static LeafReply Success(const std::string& record) {
    return {.status = 200,
            .reason = "OK",
            .signature = "sig-" + record,
            .body = record};
  }

  static LeafReply Failure(int status, bool not_run) {
    return {.status = status, .signature = "sig-f", .not_run = not_run};
  }

  void Reply(const StartLeafCall& call, LeafReply reply) {
    call.leaf->OnCallEnded(call.sent, clock_.Now(), CallOutcome::kAnswered);
    run_->OnReply(call.call, std::move(reply), actions_);
    CollectActions();
  }

  void Fail(const StartLeafCall& call, CallFailure failure) {
    call.leaf->OnCallEnded(call.sent, clock_.Now(), CallOutcome::kFailed);
    run_->OnFailure(call.call, failure, actions_);
    CollectActions();
  }

  void AdvanceTo(milliseconds since_start) {
    const base::TimePoint end = run_->request().received + since_start;
    while (!run_->finished() && run_->NextWakeup() <= end) {
      clock_.AdvanceTo(std::max(clock_.Now(), run_->NextWakeup()));
      run_->Tick(actions_);
      CollectActions();
    }
    clock_.AdvanceTo(end);
  }

  base::ManualClock clock_;
  LeafDirectory directory_;
  ColdCallLimit cold_;
  ServiceShares shares_;
  LeafRateLimit rate_;
  LeafSelector selector_;
  ExtraCallBudget budget_;
  CallId calls_ = 0;
  /// Hosts to which no connection is open.
  std::set<std::string> unconnected_;
  /// Calls that still wait for a connection.
  std::set<CallId> unsent_;
  RunContext context_;
  Route route_;
  Route single_leaf_route_;
  std::vector<Service> services_;
  std::unique_ptr<RequestRun> run_;
  std::vector<RunAction> actions_;
  std::vector<StartLeafCall> started_;
  std::vector<StartGroupCall> groups_;
  std::size_t abandoned_ = 0;
  std::vector<GroupReply> reports_;
  std::optional<CallerReply> reply_;
};

}  // namespace berylreach::forward
