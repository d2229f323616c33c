// Simulation of several host cores in virtual time, with fakes at all their
// interfaces.
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

/// Runs the host cores of several hosts against a fake store, fake leaves and a
/// fake network. Its methods inject faults. Runs with the same seed are
/// identical.
class World {
 public:
  /// All leaves of `environment` run from the start and hold version 1; hosts
  /// are started by StartHost.
  World(model::Environment environment, std::uint64_t seed);
  ~World();

  World(const World&) = delete;
  World& operator=(const World&) = delete;

  // Hosts.
  void StartHost(const std::string& host, const std::string& zone);
  /// Ends the process: its connections are reset and new ones are refused.
  void KillHost(const std::string& host);
  /// Pauses the process: it handles no events and sends no messages. Events
  /// that arrive are handled after WakeHost.
  void FreezeHost(const std::string& host);
  void WakeHost(const std::string& host);
  /// Begins a planned stop.
  void StopHost(const std::string& host);
  bool Stopped(const std::string& host) const;
  bool Ready(const std::string& host) const;
  /// The core of a running or frozen host; null otherwise.
  const core::HostCore* Core(const std::string& host) const;
  std::vector<std::string> RunningHosts() const;

  // Network between hosts.
  void SetLink(const std::string& a, const std::string& b, bool up);
  /// Cuts or restores all links of a host to other hosts.
  void SetIsolated(const std::string& host, bool isolated);
  /// Cuts or restores a host's connection to the store and the host list.
  void SetStoreReachable(const std::string& host, bool reachable);
  /// Sets the probabilities that a message between hosts is lost and that it
  /// arrives twice.
  void SetMessageFaults(double loss, double duplication);

  // Platform.
  FakeStore& store() { return store_; }
  /// Shows exactly these leaves as leaving in the host list.
  void SetLeaving(const std::set<std::string>& leaves);
  std::uint64_t host_list_calls() const { return host_list_calls_; }

  // Leaves.
  FakeLeaf& leaf(const std::string& name) { return *leaves_.at(name); }
  const std::map<std::string, std::unique_ptr<FakeLeaf>>& leaves() const {
    return leaves_;
  }
  /// Publishes an index version: each leaf of `service` holds the shard, of
  /// `shard_count`, that its position in the document implies. With
  /// `keep_previous` it also keeps its earlier holdings.
  void PublishVersion(const std::string& service, std::uint64_t version,
                      std::uint32_t shard_count, bool keep_previous);

  // Operators.
  /// Submits a document as an operator does; returns its version, or nullopt on
  /// a failure. Advances virtual time, so scheduled tasks must not call it.
  std::optional<std::uint64_t> Submit(const model::Environment& environment);
  /// Submits a document by scheduled tasks; `written` is called with the
  /// version once the document is in the store. Submissions of this operator
  /// run one after another.
  void SubmitLater(const model::Environment& environment,
                   std::function<void(std::uint64_t)> written);
  /// Like SubmitLater, but by another operator, who does not wait for other
  /// submissions and does not retry.
  void SubmitRacing(const model::Environment& environment,
                    std::function<void(std::uint64_t)> written);
  const model::Environment& environment() const { return environment_; }

  // Callers.
  /// Sends a request to a host, with a deadline of `deadline` from now. Returns
  /// its index in `records()`.
  std::size_t SendRequest(const std::string& host, model::CallerRequest request,
                          std::chrono::milliseconds deadline);
  const std::deque<CallerRecord>& records() const { return records_; }
  const std::vector<LeafRun>& runs() const { return runs_; }
  const std::vector<WorldEvent>& events() const { return events_; }

  // Virtual time.
  void RunFor(base::Duration time) { queue_.RunUntil(queue_.Now() + time); }
  /// Advances time until `condition` holds. Returns false if `limit` passes
  /// first.
  bool RunUntil(const std::function<bool()>& condition, base::Duration limit);
  void After(base::Duration delay, std::function<void()> task) {
    queue_.After(delay, std::move(task));
  }
  base::TimePoint Now() const { return queue_.Now(); }
  std::chrono::system_clock::time_point WallNow() const {
    return clock_.WallNow();
  }
  Random& random() { return random_; }

  /// Notifies `observer` of all traffic and events from now on; null ends this.
  /// The observer must live until then.
  void SetObserver(WorldObserver* observer) { observer_ = observer; }

 private:
  struct Host;
  /// A document queued by SubmitLater.
  struct Submission {
    model::Environment environment;
    std::function<void(std::uint64_t)> written;
    int attempts = 5;
  };

  std::shared_ptr<OperatorSession> MakeSession(
      const model::Environment& environment,
      std::function<void(std::uint64_t)> done);
  void StartSubmission();
  Host* Find(const std::string& host);
  const Host* Find(const std::string& host) const;
  /// Handles `event` on the core of a host now, or after it wakes if it is
  /// frozen; drops it if the process with `incarnation` has ended.
  void Dispatch(const std::string& host, std::uint64_t incarnation,
                std::function<core::Actions(core::HostCore&)> event);
  void Execute(Host& host, core::Actions actions);
  void ExecuteAction(Host& host, core::Action& action);
  void SendPeer(Host& from, const core::SendToPeer& send);
  /// Notifies the hosts connected to `killed` that their connections were
  /// reset.
  void ResetConnections(const std::string& killed);
  /// Notifies `from` that its connection to `to`, which does not run, was
  /// refused.
  void RefuseConnection(Host& from, const std::string& to);
  void ReportPeerDisconnected(const Host& host, const std::string& peer,
                              base::Duration delay);
  /// Hands a call to the I/O thread of the host, which writes it a moment
  /// later.
  void CallUpstream(Host& host, const model::UpstreamCall& call);
  void WriteCall(const std::string& host, const model::UpstreamCall& call,
                 FakeLeaf::Reply reply);
  void CallStore(Host& host, const model::StoreRequest& request);
  void PollHostList(Host& host);
  /// Reads the leaf statuses for a host periodically, until its set of leaves
  /// (`generation`) changes.
  void ReadStatuses(const std::string& host, std::uint64_t incarnation,
                    std::uint64_t generation);
  void ScheduleTick(Host& host);
  void OnReply(const core::ReplyToCaller& reply);
  void Record(const Host& host, const std::string& type,
              const std::string& subject, const std::string& detail);
  bool LinkUp(const std::string& a, const std::string& b) const;
  /// One-way latency between two hosts.
  base::Duration Latency(const Host& a, const std::string& to) const;

  base::ManualClock clock_;
  Random random_;
  EventQueue queue_;
  FakeStore store_;
  model::Environment environment_;
  /// Submissions by SubmitLater; the first one is in progress.
  std::deque<Submission> submissions_;
  std::map<std::string, std::unique_ptr<Host>> hosts_;
  std::map<std::string, std::unique_ptr<FakeLeaf>> leaves_;
  std::set<std::pair<std::string, std::string>> cut_links_;
  std::set<std::string> cut_from_store_;
  /// Incarnation of the leaf process that the connections of a host lead to, by
  /// host and leaf.
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
