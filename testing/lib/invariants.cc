// Checks of the invariants of section 1.2 of docs/design.md.
#include "berylreach/testing/invariants.h"

#include <algorithm>
#include <chrono>
#include <set>
#include <utility>
#include <variant>

#include "berylreach/testing/fake_leaf.h"

namespace berylreach::testing {
namespace {

using model::Answer;
using model::Refusal;
using model::RequestKind;

// Targets of section 1.3 of docs/design.md.
constexpr std::chrono::seconds kZoneOutLimit{2};
constexpr std::chrono::seconds kLeavingLimit{2};
// Maximum time from the decision of a refusal at the bucket owner to its
// arrival: two hops of 20 ms between regions, one to a former owner and one to
// the entry host.
constexpr std::chrono::milliseconds kMaxRefusalLatency{45};
// Maximum time from the deadline to the arrival of a reply, because of the hops
// between hosts.
constexpr std::chrono::milliseconds kReplyGrace{200};

std::string Describe(const CallerRecord& record) {
  return "request " + std::to_string(record.request.id.counter) + " (" +
         record.request.service.value + ", key \"" + record.request.key +
         "\") at " + record.host.value;
}

bool SaysNotRun(const CallerRecord& record) {
  const auto* refusal =
      record.reply ? std::get_if<Refusal>(&*record.reply) : nullptr;
  return refusal != nullptr &&
         refusal->execution == model::ExecutionStatus::kNotRun;
}

}  // namespace

Invariants::Invariants(World& world) : world_(world) {}

void Invariants::Report(int number, const std::string& what) {
  violations_.push_back("invariant " + std::to_string(number) + ": " + what);
}

std::optional<base::TimePoint> Invariants::AcceptedAt(
    std::uint64_t version) const {
  const auto found = accepted_at_.find(version);
  if (found == accepted_at_.end()) return std::nullopt;
  return found->second;
}

void Invariants::Observe() {
  ObserveDocuments();
  ObserveNewRuns();
}

bool Invariants::InForceEverywhere(std::uint64_t version) const {
  const auto hosts = world_.RunningHosts();
  return std::all_of(hosts.begin(), hosts.end(), [&](const std::string& host) {
    const core::HostCore& core = *world_.Core(host);
    return !core.HoldsLease() || core.document().version >= version;
  });
}

void Invariants::ObserveDocuments() {
  std::erase_if(written_, [&](std::uint64_t version) {
    const bool accepted = InForceEverywhere(version);
    if (accepted) accepted_at_.emplace(version, world_.Now());
    return accepted;
  });
  const std::uint64_t newest_accepted =
      accepted_at_.empty() ? 0 : accepted_at_.rbegin()->first;
  for (const std::string& host : world_.RunningHosts()) {
    const core::HostCore& core = *world_.Core(host);
    const std::uint64_t version = core.document().version;
    std::uint64_t& highest = highest_version_[{host, core.self().incarnation}];
    if (version < highest) {
      Report(10, host + " reverted from document " + std::to_string(highest) +
                     " to " + std::to_string(version));
    }
    highest = std::max(highest, version);
    if (core.HoldsLease() && version != 0 && version < newest_accepted) {
      Report(10, host + " serves document " + std::to_string(version) +
                     " although " + std::to_string(newest_accepted) +
                     " was accepted");
    }
  }
}

void Invariants::ObserveNewRuns() {
  for (; checked_runs_ < world_.runs().size(); ++checked_runs_) {
    const LeafRun& run = world_.runs()[checked_runs_];
    const std::string zone = world_.leaf(run.leaf.value).leaf().zone.value;
    const auto out = zone_out_version_.find(zone);
    const auto accepted =
        out == zone_out_version_.end() ? std::nullopt : AcceptedAt(out->second);
    if (accepted && run.at - *accepted > kZoneOutLimit) {
      Report(4, run.leaf.value + " got new work after its zone was taken out");
    }
    const auto leaving = leaving_at_.find(run.leaf.value);
    if (leaving != leaving_at_.end() &&
        run.at - leaving->second > kLeavingLimit) {
      Report(8, run.leaf.value + " got new work although it is leaving");
    }
  }
}

std::vector<std::string> Invariants::Violations() {
  Observe();
  for (const std::uint64_t version : written_) {
    Report(10, "document " + std::to_string(version) + " was never accepted");
  }
  for (const CallerRecord& record : world_.records()) CheckRecord(record);
  CheckOrders();
  CheckLeaves();
  return std::exchange(violations_, {});
}

void Invariants::CheckRecord(const CallerRecord& record) {
  if (record.replies > 1) Report(5, Describe(record) + " got several replies");
  if (record.replies == 0) {
    const bool overdue = world_.Now() > record.request.deadline + kReplyGrace;
    if (!record.host_lost && overdue)
      Report(9, Describe(record) + " got no reply");
    return;
  }
  if (const auto* answer = std::get_if<Answer>(&*record.reply))
    CheckAnswer(record, *answer);
}

void Invariants::CheckAnswer(const CallerRecord& record, const Answer& answer) {
  const model::Coverage& coverage = answer.coverage;
  if (coverage.shards_answered != answer.results.size() ||
      coverage.shards_answered + coverage.missing.size() !=
          coverage.shards_total) {
    Report(2, Describe(record) +
                  " got an answer whose coverage does not match its results");
  }
  std::set<std::uint32_t> shards;
  for (const model::MissingShard& missing : coverage.missing)
    shards.insert(missing.shard);
  for (const model::ShardResult& result : answer.results) {
    if (!shards.insert(result.shard).second) {
      Report(2, Describe(record) + " counts shard " +
                    std::to_string(result.shard) + " twice");
    }
    const bool is_lookup = record.request.kind == RequestKind::kLookup;
    const bool is_query = record.request.kind == RequestKind::kQuery;
    model::UpstreamCall call;
    call.service = record.request.service;
    call.payload = record.request.payload;
    call.key = record.request.key;
    const std::string expected =
        ResultText(call, answer.version, result.shard, coverage.shards_total);
    // The coverage of a lookup counts one shard only. For requests other than
    // queries, therefore, only the beginning of the result and the version are
    // compared.
    const bool matches = is_query ? result.result == expected
                                  : result.result.starts_with(expected.substr(
                                        0, expected.rfind('"') + 1));
    const bool same_version =
        result.result.ends_with("," + std::to_string(answer.version) + "]");
    if (!matches)
      Report(5, Describe(record) +
                    " got the result of another request or partition");
    if ((is_query || is_lookup) && !same_version)
      Report(1, Describe(record) +
                    " got a result of another version than the answer states");
  }
}

void Invariants::CheckOrders() {
  using Key = std::pair<std::string, std::string>;
  std::map<Key, std::vector<base::TimePoint>> runs;
  for (const LeafRun& run : world_.runs()) {
    if (run.kind == RequestKind::kOrder)
      runs[{run.service.value, run.key}].push_back(run.at);
  }
  std::map<Key, std::vector<const CallerRecord*>> requests;
  for (const CallerRecord& record : world_.records()) {
    if (record.request.kind != RequestKind::kOrder) continue;
    requests[{record.request.service.value, record.request.key}].push_back(
        &record);
  }
  for (const auto& [key, times] : runs) {
    if (times.size() > 1) {
      Report(7, "order \"" + key.second + "\" ran " +
                    std::to_string(times.size()) + " times");
    }
    for (const CallerRecord* record : requests[key]) {
      if (!SaysNotRun(*record)) continue;
      const base::TimePoint ran_at = times.front();
      // A run after the refusal is allowed if another request for the order may
      // have caused it: a request that was unfinished when `record` was
      // refused, or was sent later, and that was not itself refused as "not
      // run".
      const bool other_cause = std::any_of(
          requests[key].begin(), requests[key].end(),
          [&](const CallerRecord* other) {
            if (other == record || other->sent_at > ran_at) return false;
            if (!other->reply) return true;
            return !SaysNotRun(*other) &&
                   other->replied_at >= record->replied_at - kMaxRefusalLatency;
          });
      // The refusal may have been decided up to kMaxRefusalLatency before it
      // arrived.
      const bool decided_before_run =
          ran_at > record->replied_at - kMaxRefusalLatency;
      if (!decided_before_run || !other_cause) {
        Report(6,
               Describe(*record) + " was told \"not run\", but the order ran");
      }
    }
  }
}

void Invariants::CheckLeaves() {
  for (const auto& [name, leaf] : world_.leaves()) {
    if (leaf->max_running() > leaf->leaf().slots) {
      Report(3, name + " ran " + std::to_string(leaf->max_running()) +
                    " calls at once");
    }
    if (leaf->max_running_cold() > 1) {
      Report(3, name + " ran " + std::to_string(leaf->max_running_cold()) +
                    " calls at once while cold");
    }
  }
}

}  // namespace berylreach::testing
