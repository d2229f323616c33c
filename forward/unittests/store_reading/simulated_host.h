// A host that follows the records of the store, in virtual time.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "berylreach/forward/change_log.h"
#include "berylreach/forward/store_reader.h"
#include "simulated_store.h"
#include "simulated_versions.h"
#include "virtual_time.h"

namespace berylreach::forward {

/// Times of simulated hosts.
struct HostTimes {
  /// Time within which a version must be applied.
  milliseconds apply_time{4000};
  /// Time of a message to the store, and of one to another host of the zone.
  milliseconds to_store{20};
  milliseconds to_host{20};
};

/// A host that executes the actions of its reader.
class SimulatedHost {
 public:
  using Find = std::function<SimulatedHost*(const std::string& name)>;

  /// `find` returns a host by its name.
  SimulatedHost(VirtualTime& time, SimulatedStore& store, HostEntry entry,
                milliseconds max_staleness, HostTimes times, Find find)
      : time_(time),
        store_(store),
        entry_(std::move(entry)),
        max_staleness_(max_staleness),
        times_(times),
        find_(std::move(find)) {
    Forget();
  }

  /// Starts the process, which registers and knows nothing yet.
  void Start() {
    running_ = true;
    store_.Put(RecordKey(), RecordOf(entry_));
    Step([](StoreReader::Actions&) {});
    Renew();
    const std::uint64_t run = ++run_;
    ProbeRevision(run);
    CheckWatch(run);
    TickVersions(run);
  }
  /// Ends the process, whose connections are closed. Its record stays.
  void Kill() {
    running_ = false;
    ++run_;
    ++read_;
    ++renewal_;
    fresh_ = false;
    for (const auto& [id, poll] : std::exchange(polls_, {}))
      poll.reply(std::nullopt);
    Forget();
  }
  /// Stops the process for `duration`. What arrives meanwhile is handled
  /// afterwards, also before the pause is noticed if that takes some time.
  void Freeze(base::Duration duration, base::Duration noticed_after = {}) {
    frozen_until_ = time_.Now() + duration;
    time_.After(duration + noticed_after, [this, run = run_] {
      if (run != run_) return;
      Step([this](StoreReader::Actions& actions) {
        reader_->OnProcessPaused(actions);
      });
    });
  }

  /// Sets a function that gets each record of a listing and each change that
  /// this host learns; the value of a deleted record is empty.
  void SetOnRecord(std::function<void(const std::string& key,
                                      const std::optional<std::string>& value)>
                       on_record) {
    on_record_ = std::move(on_record);
  }

  const HostEntry& entry() const { return entry_; }
  bool running() const { return running_; }
  bool frozen() const { return time_.Now() < frozen_until_; }
  bool is_current() const { return view_ == store_.items(); }
  /// Position of the store up to which this host knows all changes; its
  /// revision is 0 if the host has no view yet.
  StorePosition position() const { return reader_->position(); }
  /// The versions of the configuration on this host.
  const SimulatedVersions& versions() const { return *versions_; }
  /// By how much changes were acknowledged before the times that this host has
  /// given for them: ApplyRecordChanges::acknowledged_after and proven_after.
  struct LateClaims {
    base::Duration acknowledged{0};
    base::Duration proven{0};
  };
  /// Returns the largest ones since the last call.
  LateClaims TakeLateClaims() { return std::exchange(late_claims_, {}); }
  /// How current this host takes its view for.
  ViewCurrency currency() const { return reader_->currency(); }
  std::string RecordKey() const {
    return SimulatedStore::kHostPrefix + entry_.name;
  }
  /// Number of times that the reader has reported the loss of the store.
  int reported_losses() const { return reported_losses_; }

 private:
  static constexpr milliseconds kTimeoutCheckInterval{200};
  static constexpr milliseconds kRenewInterval{3000};
  static constexpr milliseconds kRenewIntervalOfReaders{1000};
  static constexpr milliseconds kRenewTimeout{1500};
  static constexpr milliseconds kRepeatedRenewTimeout{2500};
  static constexpr milliseconds kProbeInterval{1000};
  static constexpr milliseconds kProbeIntervalWithFollowers{500};
  static constexpr milliseconds kMaxTimeBetweenPolls{3000};
  static constexpr milliseconds kLostProbeDelay{200};
  static constexpr milliseconds kProbeTimeout{500};
  static constexpr milliseconds kVersionsInterval{100};

  struct Poll {
    ReadFeed read;
    std::function<void(std::optional<ChangeSet>)> reply;
    base::TimePoint arrived{};
  };

  /// Begins with a new process.
  void Forget() {
    view_.clear();
    log_ = ChangeLog();
    known_ = {};
    reader_.emplace(time_.clock(), entry_, max_staleness_);
    versions_.emplace(time_, times_.apply_time);
  }

  /// Runs `run` after `delay`, or once the host is not frozen any more.
  void After(base::Duration delay, std::function<void()> run) {
    time_.After(delay, [this, run = std::move(run)]() mutable {
      if (frozen()) {
        After(frozen_until_ - time_.Now(), std::move(run));
      } else {
        run();
      }
    });
  }

  template <typename Event>
  void Step(Event event) {
    StoreReader::Actions actions;
    event(actions);
    Run(actions);
    actions.clear();
    std::vector<HostEntry> hosts;
    for (const auto& [key, value] : view_)
      if (key.starts_with(SimulatedStore::kHostPrefix))
        hosts.push_back(HostFromRecord(key, value));
    reader_->StartNextRead(hosts, actions);
    Run(actions);
  }

  static std::string RecordOf(const HostEntry& host) {
    return host.zone + " " + std::to_string(host.cores);
  }

  static HostEntry HostFromRecord(const std::string& key,
                                  const std::string& value) {
    const std::string name =
        key.substr(std::string(SimulatedStore::kHostPrefix).size());
    const std::size_t space = value.find(' ');
    return {.name = name,
            .address = name,
            .zone = value.substr(0, space),
            .cores = std::stod(value.substr(space + 1))};
  }

  void Run(const StoreReader::Actions& actions) {
    for (const StoreReadAction& action : actions)
      std::visit([this](const auto& typed) { Run(typed); }, action);
  }

  /// Sends a call to the store; `handle` gets the answer unless the read has
  /// been ended meanwhile.
  void ReadStore(
      milliseconds timeout,
      const std::function<void(SimulatedStore::Reply)>& send,
      std::function<void(StoreAnswer, StoreReader::Actions&)> handle) {
    const std::uint64_t read = ++read_;
    const auto end = [this, read, handle](const StoreAnswer& answer) {
      if (read != read_) return;
      ++read_;
      Step([&](StoreReader::Actions& actions) { handle(answer, actions); });
    };
    time_.After(times_.to_store, [this, send, end] {
      send([this, end](const StoreAnswer& answer) {
        After(times_.to_store, [end, answer] { end(answer); });
      });
    });
    After(timeout + kTimeoutCheckInterval, [end] { end({0, {}}); });
  }

  void Run(const ReadPage& read) {
    ReadStore(
        read.timeout,
        [this, read](SimulatedStore::Reply reply) {
          store_.Page(entry_.name,
                      read.hosts_only ? SimulatedStore::kHostPrefix : "",
                      read.after, std::move(reply));
        },
        [this](StoreAnswer answer, StoreReader::Actions& actions) {
          if (answer.status == 200) {
            reader_->OnPage(std::move(answer.page), actions);
          } else {
            reader_->OnReadFailed(answer.status, actions);
          }
        });
  }

  void Run(const ReadChanges& read) {
    ReadStore(
        read.timeout,
        [this, read](SimulatedStore::Reply reply) {
          store_.Changes(entry_.name, read.revision, read.wait,
                         std::move(reply));
        },
        [this](StoreAnswer answer, StoreReader::Actions& actions) {
          if (answer.status == 200) {
            reader_->OnChanges(std::move(answer.page), actions);
          } else if (answer.status == 410) {
            reader_->OnHistoryGone();
            reader_->OnStoreEra(answer.page.position.era, actions);
          } else {
            reader_->OnReadFailed(answer.status, actions);
          }
        });
    if (!probing_ && HasFollowers()) ScheduleProbe(StoreReader::kReportTime);
  }

  void Run(const ReadFeed& read) {
    const std::uint64_t id = ++read_;
    const auto end = [this, id](const std::optional<ChangeSet>& changes,
                                bool answered = true) {
      if (id != read_) return;
      ++read_;
      Step([&](StoreReader::Actions& actions) {
        if (changes) {
          reader_->OnFeedAnswer(*changes, actions);
        } else {
          reader_->OnFeedFailed(answered);
        }
      });
    };
    SimulatedHost* host = find_(read.host.name);
    if (host != nullptr && !host->running()) {
      // The connection is refused.
      After(2 * times_.to_host, [end] { end(std::nullopt, false); });
    } else if (host != nullptr) {
      host->After(times_.to_host, [this, host, read, end] {
        host->OnPoll(read, [this, end](const std::optional<ChangeSet>& set) {
          After(times_.to_host, [end, set] { end(set); });
        });
      });
    }
    After(read.timeout + kTimeoutCheckInterval,
          [end] { end(std::nullopt, false); });
  }

  void OnPoll(const ReadFeed& read,
              std::function<void(std::optional<ChangeSet>)> reply) {
    if (!running_) return;
    const FollowerState follower = FollowerOf(read);
    if (log_.IsBehind(follower)) {
      Step([&](StoreReader::Actions& actions) {
        reader_->OnStoreEra(read.known_era, actions);
      });
    }
    const Poll poll{read, std::move(reply), time_.Now()};
    polled_at_ = time_.Now();
    if (!fresh_) {
      poll.reply(std::nullopt);
    } else if (const auto set = log_.ChangesFor(follower)) {
      Reply(poll, set);
    } else if (read.wait == milliseconds(0)) {
      Reply(poll, log_.NoChangesFor(follower));
    } else {
      const std::uint64_t id = next_poll_++;
      polls_[id] = poll;
      After(read.wait, [this, id] {
        const auto waiting = polls_.extract(id);
        if (!waiting) return;
        Reply(waiting.mapped(),
              log_.NoChangesFor(FollowerOf(waiting.mapped().read)));
      });
    }
  }

  /// Replies to a poll, and states how current this host's view is and how old
  /// the changes may be.
  void Reply(const Poll& poll, std::optional<ChangeSet> set) {
    if (set) {
      const auto after_arrival = [&poll](base::TimePoint at) {
        return std::chrono::floor<milliseconds>(at - poll.arrived);
      };
      set->current_after_arrival = after_arrival(reader_->currency().until);
      set->poll_wait = poll.read.wait;
      if (const auto after = log_.AcknowledgedAfter(poll.read.view))
        set->changes_after_arrival = after_arrival(*after);
    }
    poll.reply(set);
  }

  /// Compares the times that are given for what this host learns now.
  void CheckClaims(base::TimePoint acknowledged_after,
                   base::TimePoint proven_after) {
    const auto missed = store_.RecordChangedAfter(known_);
    if (!missed) return;
    late_claims_.acknowledged =
        std::max(late_claims_.acknowledged, acknowledged_after - *missed);
    late_claims_.proven = std::max(late_claims_.proven, proven_after - *missed);
  }

  static FollowerState FollowerOf(const ReadFeed& read) {
    return {.view = read.view, .known_era = read.known_era};
  }

  void Report(const std::string& key, const std::optional<std::string>& value) {
    if (on_record_) on_record_(key, value);
  }

  void Run(const CancelRead&) { ++read_; }
  void Run(const WakeUpAfter& wake_up) {
    const std::uint64_t read = ++read_;
    After(wake_up.delay, [this, read] {
      if (read != read_) return;
      Step([this](StoreReader::Actions&) { reader_->OnWakeUp(); });
    });
  }
  void Run(const ReplaceRecords& listing) {
    CheckClaims(listing.proven_after, listing.proven_after);
    known_ = listing.position;
    view_ = listing.records;
    for (const auto& [key, value] : view_) Report(key, value);
    const auto version = view_.find(SimulatedVersions::kKey);
    if (version != view_.end())
      versions_->OnRecord(version->second, listing.proven_after);
    log_.Reset(listing.records, listing.position, listing.proven_after);
  }
  void Run(const ApplyRecordChanges& changes) {
    if (changes.position && !changes.changes.empty())
      CheckClaims(changes.acknowledged_after, changes.proven_after);
    known_ = reader_->position();
    for (const RecordChange& change : changes.changes) {
      if (change.key == SimulatedVersions::kKey && change.value)
        versions_->OnRecord(*change.value, changes.acknowledged_after);
      Report(change.key, change.value);
      if (change.value) {
        view_[change.key] = *change.value;
      } else {
        view_.erase(change.key);
      }
    }
    if (changes.position)
      log_.Append(changes.changes, *changes.position, changes.proven_after);
  }
  void Run(const SetFeedFresh& freshness) {
    fresh_ = freshness.fresh;
    for (auto& [id, poll] : std::exchange(polls_, {})) {
      if (!fresh_) {
        poll.reply(std::nullopt);
      } else if (const auto set = log_.ChangesFor(FollowerOf(poll.read))) {
        Reply(poll, set);
      } else {
        polls_[id] = std::move(poll);
      }
    }
  }
  void Run(const LogFailedRead&) {}
  void Run(const ReportStoreLost&) { ++reported_losses_; }
  void Run(const ReportStoreRegained&) {}
  void Run(const ReportStoreRestored&) {}
  void Run(const ConfirmView&) {}

  void Renew() {
    const std::uint64_t renewal = ++renewal_;
    const base::TimePoint sent = time_.Now();
    const auto end = [this, renewal, sent](const StoreAnswer& answer) {
      if (renewal != renewal_) return;
      ++renewal_;
      renewal_answered_ = answer.status != 0;
      Step([this, &answer, sent](StoreReader::Actions& actions) {
        const int status = answer.status;
        reader_->OnStoreEra(answer.page.position.era, actions);
        if (status == 200) {
          reader_->OnRenewalAnswered(sent);
        } else {
          reader_->OnRenewalFailed(sent, status, actions);
        }
      });
      After(reader_->reads_store() ? kRenewIntervalOfReaders : kRenewInterval,
            [this, run = run_] {
              if (run == run_) Renew();
            });
    };
    time_.After(times_.to_store, [this, end] {
      store_.Renew(entry_.name, [this, end](const StoreAnswer& answer) {
        After(times_.to_store, [end, answer] { end(answer); });
      });
    });
    After((renewal_answered_ ? kRenewTimeout : kRepeatedRenewTimeout) +
              kTimeoutCheckInterval,
          [end] {
            end({0, {}});
          });
  }

  void TickVersions(std::uint64_t run) {
    After(kVersionsInterval, [this, run] {
      if (run != run_) return;
      versions_->Tick();
      TickVersions(run);
    });
  }

  /// Reads the store's revision in intervals while this host watches the store.
  void ProbeRevision(std::uint64_t run) {
    if (run != run_) return;
    const std::uint64_t probe = ++probe_;
    const base::TimePoint sent = time_.Now();
    probing_ = true;
    const auto end = [this, run, probe, sent](const StoreAnswer& answer) {
      if (run != run_ || probe != probe_) return;
      ++probe_;
      probing_ = false;
      Step([&](StoreReader::Actions& actions) {
        reader_->OnStoreEra(answer.page.position.era, actions);
        if (answer.status == 200)
          reader_->OnPositionSeen(sent, answer.page.position);
      });
      ScheduleProbe(answer.status == 0 ? kLostProbeDelay : ProbeDelay(sent));
    };
    if (!reader_->watches_store()) {
      probing_ = false;
      ScheduleProbe(ProbeDelay(sent));
      return;
    }
    time_.After(times_.to_store, [this, end] {
      store_.Revision(entry_.name, [this, end](const StoreAnswer& answer) {
        After(times_.to_store, [end, answer] { end(answer); });
      });
    });
    After(kProbeTimeout + kTimeoutCheckInterval, [end] { end({0, {}}); });
  }

  /// Replaces the next read of the revision.
  void ScheduleProbe(base::Duration delay) {
    const std::uint64_t probe = ++probe_;
    After(delay, [this, run = run_, probe] {
      if (probe == probe_) ProbeRevision(run);
    });
  }

  bool HasFollowers() const {
    return polled_at_ && time_.Now() < *polled_at_ + kMaxTimeBetweenPolls;
  }

  base::Duration ProbeDelay(base::TimePoint sent) const {
    return HasFollowers() ? kProbeIntervalWithFollowers - (time_.Now() - sent)
                          : base::Duration(kProbeInterval);
  }

  void CheckWatch(std::uint64_t run) {
    After(kTimeoutCheckInterval, [this, run] {
      if (run != run_) return;
      Step([this](StoreReader::Actions& actions) {
        reader_->CheckWatch(actions);
      });
      CheckWatch(run);
    });
  }

  VirtualTime& time_;
  SimulatedStore& store_;
  HostEntry entry_;
  milliseconds max_staleness_;
  HostTimes times_;
  Find find_;
  std::optional<StoreReader> reader_;
  std::map<std::string, std::string> view_;
  std::function<void(const std::string& key,
                     const std::optional<std::string>& value)>
      on_record_;
  ChangeLog log_;
  /// Position up to which changes have been learned, for the check of claims.
  StorePosition known_;
  LateClaims late_claims_;
  std::optional<SimulatedVersions> versions_;
  bool fresh_ = false;
  std::optional<base::TimePoint> polled_at_;
  std::map<std::uint64_t, Poll> polls_;
  std::uint64_t next_poll_ = 0;
  std::uint64_t read_ = 0;
  std::uint64_t renewal_ = 0;
  std::uint64_t probe_ = 0;
  /// Whether a read of the revision has been sent and not ended.
  bool probing_ = false;
  /// Number of the process's run; others than the current one have ended.
  std::uint64_t run_ = 0;
  bool renewal_answered_ = true;
  base::TimePoint frozen_until_{};
  bool running_ = false;
  int reported_losses_ = 0;
};

}  // namespace berylreach::forward
