// The life of one caller request: calls to leaves, retries, hedges, the answer.
#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "berylreach/base/clock.h"
#include "berylreach/forward/configuration.h"
#include "berylreach/forward/extra_call_budget.h"
#include "berylreach/forward/leaf_selector.h"
#include "berylreach/forward/message.h"
#include "berylreach/forward/route_table.h"

namespace berylreach::forward {

/// Send a call of the request to a leaf.
struct StartLeafCall {
  CallId call = 0;
  std::shared_ptr<LeafRecord> leaf;
  /// Connections that this host may hold to the leaf.
  std::size_t connections = 1;
  /// When the call counts as sent in the leaf's record.
  base::TimePoint sent{};
  /// The leaf is told that the call ends then.
  base::TimePoint deadline{};
};

/// Answer the caller. Always the last action of a run.
struct FinishRequest {
  CallerReply reply;
};

using RunAction = std::variant<StartLeafCall, FinishRequest>;

/// What all runs of a host share.
struct RunContext {
  const base::Clock& clock;
  LeafSelector& selector;
  ExtraCallBudget& budget;
  /// Bytes of one record of a merged answer.
  std::size_t record_bytes = 1;
  /// The next id of a call.
  std::function<CallId()> next_call;
};

/// Drives one request. A route to one leaf is a run of one part whose answer
/// is passed through whole; a scattering route has a part for each shard and
/// merges. Events append to `actions`. Not thread-safe.
class RequestRun {
 public:
  /// `route` must belong to `table`, whose version serves the whole run.
  RequestRun(RunContext& context, std::shared_ptr<const RouteTable> table,
             const Route& route, const std::string& single_service,
             CallerRequest request);

  /// A partial answer is sent from `time` on. Call before Start.
  void SetPartialAt(base::TimePoint time) { partial_at_ = time; }
  base::TimePoint partial_at() const { return partial_at_; }

  void Start(std::vector<RunAction>& actions);
  void OnReply(CallId call, LeafReply reply, std::vector<RunAction>& actions);
  void OnFailure(CallId call, CallFailure failure,
                 std::vector<RunAction>& actions);
  void Tick(std::vector<RunAction>& actions);
  /// When Tick is due next.
  base::TimePoint NextWakeup() const;

  bool finished() const { return finished_; }
  const CallerRequest& request() const { return request_; }
  std::uint64_t seed() const { return seed_; }
  const Route& route() const { return route_; }
  /// Parts answered and parts in all, for the log.
  std::size_t answered() const { return answered_; }
  std::size_t parts() const { return parts_.size(); }
  std::size_t calls_sent() const { return calls_sent_; }
  /// The first few parts without an answer and what became of their calls, for
  /// the log: "shard: leaf state age", with ages in milliseconds.
  std::string DescribeUnanswered() const;
  /// When the last caller-visible deadline of the run ends.
  base::TimePoint deadline() const { return deadline_; }

 private:
  struct Call {
    CallId id = 0;
    std::shared_ptr<LeafRecord> leaf;
    base::TimePoint sent{};
    base::TimePoint hedge_at{};
    bool running = true;
  };
  enum class PartState { kWaiting, kAnswered, kFailed };
  struct Part {
    const Service* service = nullptr;
    PartState state = PartState::kWaiting;
    /// Calls that ran or may have run.
    std::size_t attempts_used = 0;
    /// Calls that were rejected or not sent.
    std::size_t rejected = 0;
    std::vector<Call> calls;
    std::vector<std::string> tried;
    std::optional<LeafReply> reply;
    /// A leaf's own failure, passed through if nothing better comes.
    std::optional<LeafReply> failure;
    bool hedge_refused = false;
    /// When a call that found no leaf is tried again.
    std::optional<base::TimePoint> retry_at;
  };

  struct Located {
    Part* part = nullptr;
    Call* call = nullptr;
  };

  Located Locate(CallId call);
  bool HasRunningCall(const Part& part) const;
  bool MayCallAgain(const Part& part) const;
  LeafQuery QueryFor(const Part& part, bool any) const;
  bool SendCall(Part& part, bool any, std::vector<RunAction>& actions);
  void Retry(Part& part, std::vector<RunAction>& actions);
  void Hedge(Part& part, std::vector<RunAction>& actions);
  void FailPart(Part& part);
  void Settle(std::vector<RunAction>& actions);
  /// Whether answers of so many parts make a success.
  bool IsEnough(std::size_t parts) const;
  void FinishMerged(std::vector<RunAction>& actions);
  void FinishSingle(std::vector<RunAction>& actions);
  void Refuse(Refusal refusal, std::string cause,
              std::vector<RunAction>& actions);
  Refusal RefusalNow() const;

  RunContext& context_;
  std::shared_ptr<const RouteTable> table_;
  const Route& route_;
  CallerRequest request_;
  std::uint64_t seed_;
  std::vector<Part> parts_;
  std::size_t answered_ = 0;
  std::size_t failed_ = 0;
  std::size_t calls_sent_ = 0;
  bool any_may_have_run_ = false;
  bool finished_ = false;
  /// End of the run: the caller's patience or the route's timeout.
  base::TimePoint deadline_{};
  /// From then on a partial answer is better than waiting on.
  base::TimePoint partial_at_{};
};

}  // namespace berylreach::forward
