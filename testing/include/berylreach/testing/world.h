// Several host cores with fakes at all their interfaces, in virtual time.
#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "berylreach/base/manual_clock.h"
#include "berylreach/core/host_core.h"
#include "berylreach/model/environment.h"
#include "berylreach/testing/caller_record.h"
#include "berylreach/testing/event_queue.h"
#include "berylreach/testing/fake_leaf.h"
#include "berylreach/testing/fake_store.h"
#include "berylreach/testing/operator_session.h"
#include "berylreach/testing/random.h"
#include "berylreach/testing/world_event.h"
#include "berylreach/testing/world_observer.h"

namespace berylreach::testing {

/// Runs the decision code of several hosts against a fake store, fake leaves
/// and a fake network. Faults are injected by its methods. One seed always
/// gives the same run.
class World {
 public:
  World(model::Environment environment, std::uint64_t seed);
  ~World();

  World(const World&) = delete;
  World& operator=(const World&) = delete;

  // Hosts.
  void StartHost(const std::string& host, const std::string& zone);
  /// Ends the process; its connections are reset and new ones refused.
  void KillHost(const std::string& host);
  /// The process stands still: it handles no event, and its peers see silence.
  void FreezeHost(const std::string& host);
  void WakeHost(const std::string& host);
  /// Begins a planned stop.
  void StopHost(const std::string& host);
  bool Stopped(const std::string& host) const;
  bool Ready(const std::string& host) const;
  /// The core of a running host; null otherwise.
  const core::HostCore* Core(const std::string& host) const;
  std::vector<std::string> RunningHosts() const;

  // Network between hosts.
  void SetLink(const std::string& a, const std::string& b, bool up);
  /// Cuts or restores all links of a host to other hosts.
  void SetIsolated(const std::string& host, bool isolated);
  /// Cuts or restores a host's connection to the store and the host list.
  void SetStoreReachable(const std::string& host, bool reachable);
  /// Probability that a message between hosts is lost, and that it arrives
  /// twice.
  void SetMessageFaults(double loss, double duplication);

  // Platform.
  FakeStore& store() { return store_; }
  /// Shows leaves as leaving in the host list.
  void SetLeaving(const std::set<std::string>& leaves);
  std::uint64_t host_list_calls() const { return host_list_calls_; }

  // Leaves.
  FakeLeaf& leaf(const std::string& name) { return *leaves_.at(name); }
  const std::map<std::string, std::unique_ptr<FakeLeaf>>& leaves() const {
    return leaves_;
  }
  /// Gives every leaf of `service` the shard that its place in the document
  /// implies, at `version`.
  void PublishVersion(const std::string& service, std::uint64_t version,
                      std::uint32_t shard_count, bool keep_previous);

  // Operators.
  /// Submits a document as an operator does; returns its version, or nothing on
  /// a failure. Runs virtual time, so that no scheduled task may call it.
  std::optional<std::uint64_t> Submit(const model::Environment& environment);
  /// The same as a scheduled task; `accepted` is called with the version if the
  /// document is accepted. One operator's submissions follow each other.
  void SubmitLater(const model::Environment& environment,
                   std::function<void(std::uint64_t)> accepted);
  /// Like SubmitLater, by another operator who waits for nobody.
  void SubmitRacing(const model::Environment& environment,
                    std::function<void(std::uint64_t)> accepted);
  const model::Environment& environment() const { return environment_; }

  // Callers.
  /// Gives a request to a host; the result is an index into `records()`.
  std::size_t Ask(const std::string& host, model::CallerRequest request,
                  std::chrono::milliseconds deadline);
  const std::deque<CallerRecord>& records() const { return records_; }
  const std::vector<LeafRun>& runs() const { return runs_; }
  const std::vector<WorldEvent>& events() const { return events_; }

  // Time.
  void RunFor(base::Duration time) { queue_.RunUntil(queue_.Now() + time); }
  /// Runs until `condition` holds; false if `limit` passed first.
  bool RunUntil(const std::function<bool()>& condition, base::Duration limit);
  void After(base::Duration delay, std::function<void()> task) {
    queue_.After(delay, std::move(task));
  }
  base::TimePoint Now() const { return queue_.Now(); }
  std::chrono::system_clock::time_point WallNow() const {
    return clock_.WallNow();
  }
  Random& random() { return random_; }

  /// Tells `observer` of all traffic and events from now on; null ends it. It
  /// must outlive its use.
  void SetObserver(WorldObserver* observer) { observer_ = observer; }

 private:
  struct Host;
  /// A document that the one operator wants in force.
  struct Submission {
    model::Environment environment;
    std::function<void(std::uint64_t)> accepted;
    int attempts = 5;
  };

  std::shared_ptr<OperatorSession> MakeSession(
      const model::Environment& environment,
      std::function<void(std::uint64_t)> done);
  void StartSubmission();
  Host* Find(const std::string& host);
  const Host* Find(const std::string& host) const;
  /// Runs `event` on the host's core now, or when it wakes; drops it if the
  /// process has ended.
  void Dispatch(const std::string& host, std::uint64_t incarnation,
                std::function<core::Actions(core::HostCore&)> event);
  void Execute(Host& host, core::Actions actions);
  void CarryOne(Host& host, core::Action& action);
  void SendPeer(Host& from, const core::SendToPeer& send);
  /// Tells hosts connected to `gone` that their connection was reset, and later
  /// that a new one is refused.
  void ResetConnections(const std::string& gone);
  void RefuseConnection(Host& from, const std::string& to);
  void ReportPeerDisconnected(const Host& host, const std::string& peer,
                              base::Duration delay);
  void CallUpstream(Host& host, const model::UpstreamCall& call);
  void WriteCall(const std::string& host, const model::UpstreamCall& call,
                 FakeLeaf::Reply reply);
  void CallStore(Host& host, const model::StoreRequest& request);
  void PollHostList(Host& host);
  void ReadStatuses(const std::string& host, std::uint64_t incarnation,
                    std::uint64_t generation);
  void ScheduleTick(Host& host);
  void OnReply(const core::ReplyToCaller& reply);
  void Record(const Host& host, const std::string& type,
              const std::string& subject, const std::string& detail);
  bool LinkUp(const std::string& a, const std::string& b) const;
  base::Duration Latency(const Host& a, const std::string& to) const;

  base::ManualClock clock_;
  Random random_;
  EventQueue queue_;
  FakeStore store_;
  model::Environment environment_;
  /// Submissions of the one operator; the first is running.
  std::deque<Submission> submissions_;
  std::map<std::string, std::unique_ptr<Host>> hosts_;
  std::map<std::string, std::unique_ptr<FakeLeaf>> leaves_;
  std::set<std::pair<std::string, std::string>> cut_links_;
  std::set<std::string> cut_from_store_;
  /// Incarnation of the leaf that each host's connections lead to.
  std::map<std::pair<std::string, std::string>, std::uint64_t> connected_to_;
  double message_loss_ = 0;
  double message_duplication_ = 0;
  model::HostList host_list_;
  std::uint64_t host_list_calls_ = 0;
  std::uint64_t last_incarnation_ = 0;
  std::uint64_t last_request_ = 0;
  std::deque<CallerRecord> records_;
  std::map<model::CallId, std::size_t> record_of_;
  std::vector<LeafRun> runs_;
  std::vector<WorldEvent> events_;
  WorldObserver* observer_ = nullptr;
};

}  // namespace berylreach::testing
