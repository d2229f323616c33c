// A store and hosts that read it, in virtual time and without a network.
#pragma once

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "berylreach/base/manual_clock.h"
#include "berylreach/forward/store_reader.h"

namespace berylreach::forward {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Runs functions at set times of a manual clock, in the order of these times.
class VirtualTime {
 public:
  base::ManualClock& clock() { return clock_; }

  void After(base::Duration delay, std::function<void()> run) {
    events_.emplace(clock_.Now() + std::max(delay, base::Duration::zero()),
                    std::move(run));
  }

  void RunFor(base::Duration duration) {
    const base::TimePoint end = clock_.Now() + duration;
    while (!events_.empty() && events_.begin()->first <= end) {
      const auto event = events_.extract(events_.begin());
      clock_.Advance(event.key() - clock_.Now());
      event.mapped()();
    }
    clock_.Advance(end - clock_.Now());
  }

 private:
  base::ManualClock clock_;
  std::multimap<base::TimePoint, std::function<void()>> events_;
};

enum class StoreCondition {
  kServing,
  /// Calls get no answer, and waiting watches are forgotten.
  kSilent,
  /// Calls get 503, and waiting watches are cut.
  kBusy,
  /// Connections are reset.
  kReset
};

/// Status of a call and its page; status 0 stands for a reset connection.
struct StoreAnswer {
  int status = 0;
  StorePage page;
};

class SimulatedStore {
 public:
  using Reply = std::function<void(StoreAnswer)>;

  explicit SimulatedStore(VirtualTime& time) : time_(time) {}

  void Put(const std::string& key, const std::string& value) {
    items_[key] = value;
    Record({key, value});
  }
  void Delete(const std::string& key) {
    items_.erase(key);
    Record({key, std::nullopt});
  }
  /// Discards the history and cuts the waiting watches.
  void Compact() {
    history_.clear();
    oldest_revision_ = revision_;
    CutWatches(0);
  }
  void SetCondition(StoreCondition condition) {
    condition_ = condition;
    if (condition == StoreCondition::kSilent) watches_.clear();
    if (condition == StoreCondition::kBusy) CutWatches(503);
    if (condition == StoreCondition::kReset) CutWatches(0);
  }
  /// Sets the time from the arrival of a call until its answer arrives.
  void SetAnswerTime(milliseconds time) { answer_time_ = time; }

  const std::map<std::string, std::string>& items() const { return items_; }
  std::size_t calls() const { return calls_; }

  void Page(const std::string& prefix, const std::string& after, Reply reply) {
    Call(std::move(reply), [this, prefix, after] {
      StoreAnswer answer{200, {.revision = revision_}};
      for (const auto& [key, value] : items_) {
        if (!key.starts_with(prefix) || key <= after) continue;
        if (answer.page.changes.size() == kPageSize) {
          answer.page.truncated = true;
          break;
        }
        answer.page.changes.push_back({key, value});
      }
      return answer;
    });
  }

  void Changes(std::uint64_t revision, milliseconds wait, Reply reply) {
    if (!Arrive(reply)) return;
    if (revision < oldest_revision_) {
      Answer(reply, {410, {}});
    } else if (revision < revision_) {
      Answer(reply, ChangesSince(revision));
    } else {
      const std::uint64_t id = next_watch_++;
      watches_[id] = {revision, std::move(reply)};
      time_.After(wait, [this, id] { AnswerWatch(id); });
    }
  }

  void Renew(Reply reply) {
    Call(std::move(reply), [] { return StoreAnswer{200, {}}; });
  }

 private:
  static constexpr std::size_t kPageSize = 4;

  struct Watch {
    std::uint64_t revision = 0;
    Reply reply;
  };

  void Record(RecordChange change) {
    history_.emplace_back(++revision_, std::move(change));
    while (!watches_.empty()) AnswerWatch(watches_.begin()->first);
  }

  void AnswerWatch(std::uint64_t id) {
    const auto watch = watches_.extract(id);
    if (watch)
      Answer(watch.mapped().reply, ChangesSince(watch.mapped().revision));
  }

  StoreAnswer ChangesSince(std::uint64_t revision) const {
    StoreAnswer answer{200, {.revision = revision_}};
    for (const auto& [at, change] : history_)
      if (at > revision) answer.page.changes.push_back(change);
    return answer;
  }

  void CutWatches(int status) {
    for (const auto& [id, watch] : std::exchange(watches_, {}))
      watch.reply({status, {}});
  }

  /// Counts a call. Returns whether the store takes it.
  bool Arrive(const Reply& reply) {
    ++calls_;
    if (condition_ == StoreCondition::kBusy) reply({503, {}});
    if (condition_ == StoreCondition::kReset) reply({0, {}});
    return condition_ == StoreCondition::kServing;
  }

  template <typename MakeAnswer>
  void Call(Reply reply, MakeAnswer make_answer) {
    if (Arrive(reply)) Answer(reply, make_answer());
  }

  /// Sends the answer; it is lost if the store is silent by then.
  void Answer(const Reply& reply, StoreAnswer answer) {
    time_.After(answer_time_, [this, reply, answer = std::move(answer)] {
      if (condition_ != StoreCondition::kSilent) reply(answer);
    });
  }

  VirtualTime& time_;
  std::map<std::string, std::string> items_;
  std::vector<std::pair<std::uint64_t, RecordChange>> history_;
  std::map<std::uint64_t, Watch> watches_;
  std::uint64_t next_watch_ = 0;
  std::uint64_t revision_ = 1;
  std::uint64_t oldest_revision_ = 0;
  StoreCondition condition_ = StoreCondition::kServing;
  milliseconds answer_time_{4};
  std::size_t calls_ = 0;
};

/// A host that executes the actions of its reader.
class SimulatedHost {
 public:
  using Find = std::function<SimulatedHost*(const std::string& name)>;

  /// `find` returns a running host.
  SimulatedHost(VirtualTime& time, SimulatedStore& store, HostEntry entry,
                milliseconds max_staleness, Find find)
      : time_(time),
        store_(store),
        entry_(std::move(entry)),
        find_(std::move(find)),
        reader_(time.clock(), entry_, max_staleness) {}

  void Start() {
    Step([](StoreReader::Actions&) {});
    Renew();
  }
  /// Stops the process for `duration`. What arrives meanwhile is handled
  /// afterwards.
  void Freeze(base::Duration duration) {
    frozen_until_ = time_.clock().Now() + duration;
    time_.After(duration, [this] {
      Step([this](StoreReader::Actions& actions) {
        reader_.OnProcessPaused(actions);
      });
    });
  }

  bool is_current() const { return view_ == store_.items(); }
  /// Number of times that the reader has reported the loss of the store.
  int reported_losses() const { return reported_losses_; }

 private:
  static constexpr milliseconds kOneWay{20};
  static constexpr milliseconds kTimeoutCheckInterval{200};
  static constexpr milliseconds kRenewInterval{3000};
  static constexpr milliseconds kRenewIntervalOfReaders{1000};
  static constexpr milliseconds kRenewTimeout{1500};
  static constexpr milliseconds kRepeatedRenewTimeout{2500};
  static constexpr milliseconds kFeedTimeout{3000};
  static constexpr milliseconds kMaxPollTime{2000};

  struct Poll {
    std::uint64_t revision = 0;
    std::function<void(std::optional<ChangeSet>)> reply;
  };

  bool frozen() const { return time_.clock().Now() < frozen_until_; }

  /// Runs `run` after `delay`, or once the host is not frozen any more.
  void After(base::Duration delay, std::function<void()> run) {
    time_.After(delay, [this, run = std::move(run)]() mutable {
      if (frozen()) {
        After(frozen_until_ - time_.clock().Now(), std::move(run));
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
      if (key.starts_with(kHostPrefix)) hosts.push_back(HostFromKey(key));
    reader_.StartNextRead(hosts, actions);
    Run(actions);
  }

  /// Host keys are the prefix, the cores and the name.
  static HostEntry HostFromKey(const std::string& key) {
    const std::string name = key.substr(std::string(kHostPrefix).size());
    return {.name = name,
            .address = name,
            .zone = "z",
            .cores = name.starts_with("reader") ? 2.0 : 0.5};
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
    time_.After(kOneWay, [this, send, end] {
      send([this, end](const StoreAnswer& answer) {
        After(kOneWay, [end, answer] { end(answer); });
      });
    });
    After(timeout + kTimeoutCheckInterval, [end] { end({0, {}}); });
  }

  void Run(const ReadPage& read) {
    ReadStore(
        read.timeout,
        [this, read](SimulatedStore::Reply reply) {
          store_.Page(read.hosts_only ? kHostPrefix : "", read.after,
                      std::move(reply));
        },
        [this](StoreAnswer answer, StoreReader::Actions& actions) {
          if (answer.status == 200) {
            reader_.OnPage(std::move(answer.page), actions);
          } else {
            reader_.OnReadFailed(answer.status, actions);
          }
        });
  }

  void Run(const ReadChanges& read) {
    ReadStore(
        read.timeout,
        [this, read](SimulatedStore::Reply reply) {
          store_.Changes(read.revision, read.wait, std::move(reply));
        },
        [this](StoreAnswer answer, StoreReader::Actions& actions) {
          if (answer.status == 200) {
            reader_.OnChanges(std::move(answer.page), actions);
          } else if (answer.status == 410) {
            reader_.OnHistoryGone();
          } else {
            reader_.OnReadFailed(answer.status, actions);
          }
        });
  }

  void Run(const ReadFeed& read) {
    const std::uint64_t id = ++read_;
    const auto end = [this, id](const std::optional<ChangeSet>& changes,
                                bool answered = true) {
      if (id != read_) return;
      ++read_;
      Step([&](StoreReader::Actions& actions) {
        if (changes) {
          reader_.OnFeedAnswer(*changes, actions);
        } else {
          reader_.OnFeedFailed(answered);
        }
      });
    };
    SimulatedHost* host = find_(read.host.name);
    if (host != nullptr) {
      host->After(kOneWay, [this, host, read, end] {
        host->OnPoll(read, [this, end](const std::optional<ChangeSet>& set) {
          After(kOneWay, [end, set] { end(set); });
        });
      });
    }
    After(kFeedTimeout + kTimeoutCheckInterval,
          [end] { end(std::nullopt, false); });
  }

  void OnPoll(const ReadFeed& read,
              std::function<void(std::optional<ChangeSet>)> reply) {
    if (!fresh_) {
      reply(std::nullopt);
    } else if (const auto set = log_.Since(read.revision)) {
      reply(set);
    } else if (!read.wait) {
      reply(ChangeSet{.revision = read.revision});
    } else {
      const std::uint64_t id = next_poll_++;
      polls_[id] = {read.revision, std::move(reply)};
      After(kMaxPollTime, [this, id] {
        const auto poll = polls_.extract(id);
        if (poll)
          poll.mapped().reply(ChangeSet{.revision = poll.mapped().revision});
      });
    }
  }

  void Run(const CancelRead&) { ++read_; }
  void Run(const WakeUpAfter& wake_up) {
    const std::uint64_t read = ++read_;
    After(wake_up.delay, [this, read] {
      if (read != read_) return;
      Step([this](StoreReader::Actions&) { reader_.OnWakeUp(); });
    });
  }
  void Run(const ReplaceRecords& listing) {
    view_ = listing.records;
    log_.Reset(listing.records, listing.revision);
  }
  void Run(const ApplyRecordChanges& changes) {
    for (const RecordChange& change : changes.changes) {
      if (change.value) {
        view_[change.key] = *change.value;
      } else {
        view_.erase(change.key);
      }
    }
    if (changes.revision) log_.Append(changes.changes, *changes.revision);
  }
  void Run(const SetFeedFresh& freshness) {
    fresh_ = freshness.fresh;
    for (auto& [id, poll] : std::exchange(polls_, {})) {
      if (!fresh_) {
        poll.reply(std::nullopt);
      } else if (const auto set = log_.Since(poll.revision)) {
        poll.reply(set);
      } else {
        polls_[id] = std::move(poll);
      }
    }
  }
  void Run(const LogFailedRead&) {}
  void Run(const ReportStoreLost&) { ++reported_losses_; }
  void Run(const ReportStoreRegained&) {}
  void Run(const ConfirmView&) {}

  void Renew() {
    const std::uint64_t renewal = ++renewal_;
    const base::TimePoint sent = time_.clock().Now();
    const auto end = [this, renewal, sent](bool answered) {
      if (renewal != renewal_) return;
      ++renewal_;
      renewal_answered_ = answered;
      Step([this, answered, sent](StoreReader::Actions& actions) {
        if (answered) {
          reader_.OnRenewalAnswered();
        } else {
          reader_.OnRenewalUnanswered(sent, actions);
        }
      });
      After(reader_.reads_store() ? kRenewIntervalOfReaders : kRenewInterval,
            [this] { Renew(); });
    };
    time_.After(kOneWay, [this, end] {
      store_.Renew([this, end](const StoreAnswer& answer) {
        After(kOneWay, [end, answer] { end(answer.status != 0); });
      });
    });
    After((renewal_answered_ ? kRenewTimeout : kRepeatedRenewTimeout) +
              kTimeoutCheckInterval,
          [end] { end(false); });
  }

 public:
  /// Prefix of the keys of host records.
  static constexpr char kHostPrefix[] = "hosts/";

 private:
  VirtualTime& time_;
  SimulatedStore& store_;
  HostEntry entry_;
  Find find_;
  StoreReader reader_;
  std::map<std::string, std::string> view_;
  ChangeLog log_;
  bool fresh_ = false;
  std::map<std::uint64_t, Poll> polls_;
  std::uint64_t next_poll_ = 0;
  std::uint64_t read_ = 0;
  std::uint64_t renewal_ = 0;
  bool renewal_answered_ = true;
  base::TimePoint frozen_until_{};
  int reported_losses_ = 0;
};

/// A deployment with a store and hosts of one zone.
class StoreSimulation {
 public:
  /// With more than four hosts two of them, "reader0" and "reader1", read the
  /// store, and the others follow these.
  StoreSimulation(int host_count, milliseconds max_staleness) {
    for (int i = 0; i < 9; ++i) store.Put("leaf" + std::to_string(i), "0");
    for (int i = 0; i < host_count; ++i) {
      const std::string name =
          (i < 2 ? "reader" : "follower") + std::to_string(i);
      store.Put(SimulatedHost::kHostPrefix + name, "");
      hosts.push_back(std::make_unique<SimulatedHost>(
          time, store, HostEntry{name, name, "z", i < 2 ? 2.0 : 0.5},
          max_staleness, [this](const std::string& wanted) {
            const auto found = by_name_.find(wanted);
            return found == by_name_.end() ? nullptr : found->second;
          }));
      by_name_[name] = hosts.back().get();
    }
    // The processes start one after the other, so that their periods differ.
    for (std::size_t i = 0; i < hosts.size(); ++i)
      time.After(milliseconds(170 * i), [this, i] { hosts[i]->Start(); });
    time.RunFor(seconds(5));
  }

  bool AllCurrent() const {
    return std::all_of(hosts.begin(), hosts.end(),
                       [](const auto& host) { return host->is_current(); });
  }

  /// Runs until all hosts are current, for `limit` at most. Returns the time
  /// that it took, or nothing if the limit was reached.
  std::optional<milliseconds> TimeUntilCurrent(milliseconds limit) {
    constexpr milliseconds step{10};
    for (milliseconds waited{0}; waited <= limit; waited += step) {
      if (AllCurrent()) return waited;
      time.RunFor(step);
    }
    return std::nullopt;
  }

  VirtualTime time;
  SimulatedStore store{time};
  std::vector<std::unique_ptr<SimulatedHost>> hosts;

 private:
  std::map<std::string, SimulatedHost*> by_name_;
};

}  // namespace berylreach::forward
