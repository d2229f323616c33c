// The metadata store in virtual time, with its outages.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "berylreach/forward/store_reader.h"
#include "virtual_time.h"

namespace berylreach::forward {

enum class StoreCondition {
  kServing,
  /// Calls get no answer, and waiting watches are forgotten.
  kSilent,
  /// Calls get 503, and waiting watches are cut.
  kBusy,
  /// Calls get 503, and waiting watches are forgotten.
  kRefusing,
  /// Connections are reset.
  kReset
};

/// How pages of listings go wrong, so that none brings the rest.
enum class PagingFault {
  kNone,
  /// Each page is the first one.
  kFirstPageOnly,
  /// Pages are empty, though more is said to follow.
  kEmptyPages
};

/// Status of a call and its page; status 0 stands for a reset connection.
struct StoreAnswer {
  int status = 0;
  StorePage page;
};

/// Calls are counted, and name the host that makes them.
class SimulatedStore {
 public:
  using Reply = std::function<void(StoreAnswer)>;

  /// Number of records on a page.
  static constexpr std::size_t kPageSize = 4;
  /// Keys of leaf and host records begin with these prefixes.
  static constexpr char kHostPrefix[] = "hosts/";

  explicit SimulatedStore(VirtualTime& time) : time_(time) {}

  void Put(const std::string& key, const std::string& value) {
    items_[key] = value;
    Record({key, value});
  }
  void Delete(const std::string& key) {
    if (items_.erase(key) > 0) Record({key, std::nullopt});
  }
  /// Takes a copy of the store, to which Restore returns.
  void TakeCopy() { copy_ = {items_, revision_}; }
  /// Returns to the copy taken last: later changes are lost, their revisions
  /// are given out again, and the era rises. Waiting watches are forgotten.
  void Restore() {
    const bool changes_records = items_ != copy_.items;
    items_ = copy_.items;
    revision_ = copy_.revision;
    std::erase_if(history_, [this](const auto& change) {
      return change.first > revision_;
    });
    oldest_revision_ = std::min(oldest_revision_, revision_);
    ++era_;
    watches_.clear();
    changed_at_[Position()] = time_.Now();
    if (changes_records) record_changed_at_[Position()] = time_.Now();
  }
  /// Discards the history and cuts the waiting watches.
  void Compact() {
    history_.clear();
    oldest_revision_ = revision_;
    CutWatches(0);
  }
  void SetCondition(StoreCondition condition) {
    condition_ = condition;
    condition_for_.clear();
    DropWatches(condition, [](const Watch&) { return true; });
  }
  /// Sets the condition for the calls of one host, until the next call of
  /// SetCondition.
  void SetConditionFor(const std::string& host, StoreCondition condition) {
    condition_for_[host] = condition;
    DropWatches(condition,
                [&host](const Watch& watch) { return watch.host == host; });
  }
  /// Cuts a host off from the store, or connects it again. Its calls and
  /// their answers are lost meanwhile; its watches go on waiting.
  void SetCutOff(const std::string& host, bool cut_off) {
    if (cut_off) {
      cut_off_.insert(host);
    } else {
      cut_off_.erase(host);
    }
  }
  /// Same, but the answers are only held up: they arrive late, as bytes do that
  /// are sent again once the host is connected.
  void SetHeldUp(const std::string& host, bool held_up) {
    if (held_up) {
      held_up_.try_emplace(host);
      return;
    }
    const auto held = held_up_.extract(host);
    if (!held) return;
    for (const auto& deliver : held.mapped())
      time_.After(kResendDelay, deliver);
  }
  bool IsCutOff(const std::string& host) const {
    return cut_off_.contains(host) || held_up_.contains(host);
  }
  void ConnectAll() {
    cut_off_.clear();
    while (!held_up_.empty()) SetHeldUp(held_up_.begin()->first, false);
  }
  /// Whether the store fails for some hosts or is slow.
  bool IsDisturbed() const {
    return condition_ != StoreCondition::kServing || !condition_for_.empty() ||
           answer_time_ != kUsualAnswerTime;
  }
  void SetPagingFault(PagingFault fault) { paging_fault_ = fault; }
  /// Forgets the waiting watches without an answer, as if their connections
  /// had been lost on the way.
  void ForgetWatches() { watches_.clear(); }
  void ForgetWatchesOf(const std::string& host) {
    std::erase_if(watches_, [&host](const auto& watch) {
      return watch.second.host == host;
    });
  }
  /// Sets the time from the arrival of a call until its answer arrives.
  void SetAnswerTime(milliseconds time) { answer_time_ = time; }
  void ResetAnswerTime() { answer_time_ = kUsualAnswerTime; }

  const std::map<std::string, std::string>& items() const { return items_; }
  StorePosition Position() const {
    return {.era = era_, .revision = revision_};
  }
  /// When the first change after `view` was made; nothing if there is none.
  std::optional<base::TimePoint> ChangedAfter(StorePosition view) const {
    return FirstAfter(view, changed_at_);
  }
  /// Same, but a return from a copy counts only if it changed records.
  std::optional<base::TimePoint> RecordChangedAfter(StorePosition view) const {
    return FirstAfter(view, record_changed_at_);
  }
  /// Number of calls, renewals included.
  std::size_t calls() const { return calls_; }
  std::size_t renewals() const { return renewals_; }
  std::size_t revision_reads() const { return revision_reads_; }
  /// Number of pages sent.
  std::size_t pages() const { return pages_; }

  void Page(const std::string& host, const std::string& prefix,
            const std::string& after, Reply reply) {
    if (!Arrive(host, reply)) return;
    ++pages_;
    StoreAnswer answer{200, {.position = Position()}};
    const std::string start =
        paging_fault_ == PagingFault::kFirstPageOnly ? "" : after;
    const std::size_t size =
        paging_fault_ == PagingFault::kEmptyPages ? 0 : kPageSize;
    for (const auto& [key, value] : items_) {
      if (!key.starts_with(prefix) || key <= start) continue;
      if (answer.page.changes.size() == size) {
        answer.page.truncated = true;
        break;
      }
      answer.page.changes.push_back({key, value});
    }
    Answer(host, reply, std::move(answer));
  }

  void Changes(const std::string& host, std::uint64_t revision,
               milliseconds wait, Reply reply) {
    if (!Arrive(host, reply)) return;
    if (revision < oldest_revision_ || revision > revision_) {
      Answer(host, reply, {410, {.position = Position()}});
    } else if (revision < revision_) {
      Answer(host, reply, ChangesSince(revision));
    } else {
      const std::uint64_t id = next_watch_++;
      watches_[id] = {host, revision, std::move(reply)};
      time_.After(wait, [this, id] { AnswerWatch(id); });
    }
  }

  /// Answers with the revision alone.
  void Revision(const std::string& host, Reply reply) {
    if (!Arrive(host, reply)) return;
    ++revision_reads_;
    Answer(host, reply, {200, {.position = Position()}});
  }

  void Renew(const std::string& host, Reply reply) {
    if (!Arrive(host, reply)) return;
    ++renewals_;
    Answer(host, reply, {200, {.position = Position()}});
  }

 private:
  static constexpr milliseconds kUsualAnswerTime{4};
  /// Time until bytes that were held up are sent again.
  static constexpr milliseconds kResendDelay{200};

  struct Copy {
    std::map<std::string, std::string> items;
    std::uint64_t revision = 0;
  };

  struct Watch {
    std::string host;
    std::uint64_t revision = 0;
    Reply reply;
  };

  static std::optional<base::TimePoint> FirstAfter(
      StorePosition view, const std::map<StorePosition, base::TimePoint>& all) {
    const auto found = all.upper_bound(view);
    return found == all.end() ? std::nullopt : std::optional(found->second);
  }

  void Record(RecordChange change) {
    history_.emplace_back(++revision_, std::move(change));
    changed_at_[Position()] = time_.Now();
    record_changed_at_[Position()] = time_.Now();
    for (const std::uint64_t id : WatchIds()) AnswerWatch(id);
  }

  std::vector<std::uint64_t> WatchIds() const {
    std::vector<std::uint64_t> ids;
    for (const auto& [id, watch] : watches_) ids.push_back(id);
    return ids;
  }

  void AnswerWatch(std::uint64_t id) {
    const auto watch = watches_.extract(id);
    if (!watch) return;
    Answer(watch.mapped().host, watch.mapped().reply,
           ChangesSince(watch.mapped().revision));
  }

  StoreAnswer ChangesSince(std::uint64_t revision) const {
    StoreAnswer answer{200, {.position = Position()}};
    for (const auto& [at, change] : history_)
      if (at > revision) answer.page.changes.push_back(change);
    return answer;
  }

  /// Ends the watches for which `selects` returns true in the way of
  /// `condition`.
  template <typename Selects>
  void DropWatches(StoreCondition condition, Selects selects) {
    if (condition == StoreCondition::kServing) return;
    for (const std::uint64_t id : WatchIds()) {
      if (!selects(watches_.at(id))) continue;
      const auto watch = watches_.extract(id);
      const bool cut = condition == StoreCondition::kBusy ||
                       condition == StoreCondition::kReset;
      if (cut)
        watch.mapped().reply(
            {condition == StoreCondition::kBusy ? 503 : 0, {}});
    }
  }

  void CutWatches(int status) {
    for (const auto& [id, watch] : std::exchange(watches_, {}))
      watch.reply({status, {}});
  }

  StoreCondition ConditionFor(const std::string& host) const {
    const auto found = condition_for_.find(host);
    return found == condition_for_.end() ? condition_ : found->second;
  }

  /// Counts a call. Returns whether the store takes it.
  bool Arrive(const std::string& host, const Reply& reply) {
    if (IsCutOff(host)) return false;
    ++calls_;
    const StoreCondition condition = ConditionFor(host);
    if (condition == StoreCondition::kBusy ||
        condition == StoreCondition::kRefusing)
      reply({503, {}});
    if (condition == StoreCondition::kReset) reply({0, {}});
    return condition == StoreCondition::kServing;
  }

  /// Sends the answer; it is lost if the store is silent by then.
  void Answer(const std::string& host, const Reply& reply, StoreAnswer answer) {
    time_.After(answer_time_, [this, host, reply, answer = std::move(answer)] {
      if (ConditionFor(host) == StoreCondition::kSilent ||
          cut_off_.contains(host))
        return;
      const auto held = held_up_.find(host);
      if (held == held_up_.end()) {
        reply(answer);
      } else {
        held->second.emplace_back([reply, answer] { reply(answer); });
      }
    });
  }

  VirtualTime& time_;
  std::map<std::string, std::string> items_;
  std::vector<std::pair<std::uint64_t, RecordChange>> history_;
  std::map<StorePosition, base::TimePoint> changed_at_;
  std::map<StorePosition, base::TimePoint> record_changed_at_;
  std::map<std::uint64_t, Watch> watches_;
  std::uint64_t next_watch_ = 0;
  Copy copy_;
  std::uint64_t era_ = 1;
  std::uint64_t revision_ = 1;
  std::uint64_t oldest_revision_ = 0;
  StoreCondition condition_ = StoreCondition::kServing;
  std::map<std::string, StoreCondition> condition_for_;
  std::set<std::string> cut_off_;
  /// The answers that are held up, by host.
  std::map<std::string, std::vector<std::function<void()>>> held_up_;
  milliseconds answer_time_ = kUsualAnswerTime;
  PagingFault paging_fault_ = PagingFault::kNone;
  std::size_t calls_ = 0;
  std::size_t renewals_ = 0;
  std::size_t revision_reads_ = 0;
  std::size_t pages_ = 0;
};

}  // namespace berylreach::forward
