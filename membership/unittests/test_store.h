// A store of the head record for tests, with faults.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "berylreach/base/clock.h"
#include "berylreach/membership/action.h"
#include "berylreach/model/head_record.h"
#include "berylreach/model/store_result.h"

namespace berylreach::membership {

/// Answers reads, watches and writes of the head record after a delay. All
/// times are those of the simulation.
class TestStore {
 public:
  struct Answer {
    int host = 0;
    bool is_write = false;
    std::uint64_t id = 0;
    model::StoreOutcome outcome = model::StoreOutcome::kUnknown;
    std::optional<model::HeadRecord> record = std::nullopt;
    std::uint64_t revision = 0;
  };

  explicit TestStore(std::mt19937_64& random) : random_(random) {}

  void Read(int host, const ReadHead& read, base::TimePoint now) {
    ++calls;
    Answer answer = Snapshot(host, read.id);
    const bool stale = previous_ && RandomlyTrue(stale_reads);
    if (stale) {
      answer.outcome = model::StoreOutcome::kOk;
      answer.record = previous_->first;
      answer.revision = previous_->second;
    }
    Reply(std::move(answer), now);
  }

  void Watch(int host, const WatchHead& watch, base::TimePoint now) {
    ++calls;
    if (down || disconnected_host == host) {
      Reply(Answer{host, false, watch.id}, now);
    } else {
      watches_.push_back({host, watch, now + watch.wait});
    }
  }

  void Write(int host, const CasHead& write, base::TimePoint now) {
    ++calls;
    Answer answer{host, true, write.id};
    if (down || disconnected_host == host) {
      // A write that fails during an outage may still be applied later.
      if (RandomlyTrue(lost_answers))
        delayed_writes_.push_back({write, now + RandomDelay(0, 900)});
    } else {
      Apply(write, answer);
      if (RandomlyTrue(lost_answers))
        answer.outcome = model::StoreOutcome::kUnknown;
    }
    Reply(std::move(answer), now);
  }

  /// Writes a new document version, as an operator does.
  void Submit() {
    previous_ = {record_, revision_};
    ++record_.document.version;
    record_.document.hash = std::to_string(record_.document.version);
    ++revision_;
  }

  /// Drops the open calls of a process that has ended; its delayed writes are
  /// still applied.
  void DropCalls(int host) {
    std::erase_if(watches_,
                  [&](const auto& open) { return open.host == host; });
    std::erase_if(replies_,
                  [&](const auto& reply) { return reply.first.host == host; });
  }

  /// Removes and returns the answers that are due.
  std::vector<Answer> TakeDueAnswers(base::TimePoint now) {
    for (const auto& [write, at] : delayed_writes_) {
      Answer ignored;
      if (at <= now) Apply(write, ignored);
    }
    std::erase_if(delayed_writes_,
                  [&](const auto& delayed) { return delayed.second <= now; });
    AnswerWatches(now);
    std::vector<Answer> due;
    std::erase_if(replies_, [&](auto& reply) {
      if (reply.second > now) return false;
      due.push_back(std::move(reply.first));
      return true;
    });
    return due;
  }

  const model::HeadRecord& record() const { return record_; }

  bool down = false;
  /// Number of a host that cannot reach the store; negative for none.
  int disconnected_host = -1;
  /// Probability with which the answer to a write is lost.
  double lost_answers = 0;
  /// Probability with which a read returns the previous record.
  double stale_reads = 0;
  /// Number of calls received.
  int calls = 0;

 private:
  struct OpenWatch {
    int host;
    WatchHead watch;
    base::TimePoint until;
  };

  bool RandomlyTrue(double probability) {
    return std::uniform_real_distribution<>(0, 1)(random_) < probability;
  }

  std::chrono::milliseconds RandomDelay(int minimum, int maximum) {
    return std::chrono::milliseconds(
        std::uniform_int_distribution<>(minimum, maximum)(random_));
  }

  Answer Snapshot(int host, std::uint64_t id) const {
    Answer answer{host, false, id, model::StoreOutcome::kAbsent};
    if (revision_ == 0) return answer;
    answer.outcome = model::StoreOutcome::kOk;
    answer.record = record_;
    answer.revision = revision_;
    return answer;
  }

  void Apply(const CasHead& write, Answer& answer) {
    answer.outcome = model::StoreOutcome::kConflict;
    if (write.revision != revision_) return;
    previous_ = {record_, revision_};
    record_ = write.record;
    ++revision_;
    answer.outcome = model::StoreOutcome::kOk;
    answer.revision = revision_;
  }

  void AnswerWatches(base::TimePoint now) {
    std::erase_if(watches_, [&](const OpenWatch& open) {
      const bool changed = revision_ != open.watch.revision;
      if (!down && !changed && open.until > now) return false;
      Reply(Snapshot(open.host, open.watch.id), now);
      return true;
    });
  }

  void Reply(Answer answer, base::TimePoint now) {
    if (down || disconnected_host == answer.host) {
      answer.outcome = model::StoreOutcome::kUnknown;
      answer.record.reset();
    }
    replies_.emplace_back(std::move(answer), now + RandomDelay(1, 15));
  }

  std::mt19937_64& random_;
  model::HeadRecord record_;
  std::uint64_t revision_ = 0;
  std::optional<std::pair<model::HeadRecord, std::uint64_t>> previous_;
  std::vector<OpenWatch> watches_;
  std::vector<std::pair<CasHead, base::TimePoint>> delayed_writes_;
  std::vector<std::pair<Answer, base::TimePoint>> replies_;
};

}  // namespace berylreach::membership
