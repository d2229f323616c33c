// Fake key-value store that runs in virtual time and simulates faults.
#include "berylreach/testing/fake_store.h"

#include <chrono>
#include <utility>

namespace berylreach::testing {
namespace {

using model::StoreOperation;
using model::StoreOutcome;
using model::StoreResult;

constexpr std::chrono::seconds kCallTimeout{1};
// Delay after which a late write takes effect: longer than the timeout of the
// writer and its subsequent read-back.
constexpr std::chrono::milliseconds kLateWriteDelay{1500};

// The result of a call that timed out.
StoreResult Unknown(const model::StoreRequest& request) {
  StoreResult result;
  result.id = request.id;
  return result;
}

}  // namespace

void FakeStore::Call(const model::StoreRequest& request, Reply reply) {
  ++calls_;
  const bool write = request.operation == StoreOperation::kCompareAndSwap;
  if (down_ || delay_ >= kCallTimeout) {
    queue_.After(kCallTimeout, [request, reply] { reply(Unknown(request)); });
    if (!down_ && write)
      queue_.After(delay_, [this, request] { CompareAndSwap(request); });
    return;
  }
  if (write && random_.Chance(late_writes_)) {
    queue_.After(kLateWriteDelay, [this, request] { CompareAndSwap(request); });
    queue_.After(kCallTimeout, [request, reply] { reply(Unknown(request)); });
    return;
  }
  queue_.After(delay_ / 2, [this, request, reply] { Apply(request, reply); });
}

void FakeStore::Apply(const model::StoreRequest& request, const Reply& reply) {
  switch (request.operation) {
    case StoreOperation::kRead:
      return Read(request, reply, stale_reads_);
    case StoreOperation::kWatch:
      return StartWatch(request, reply);
    case StoreOperation::kCompareAndSwap:
      break;
  }
  const StoreResult result = CompareAndSwap(request);
  if (random_.Chance(lose_responses_)) {
    queue_.After(kCallTimeout, [request, reply] { reply(Unknown(request)); });
    return;
  }
  queue_.After(delay_ / 2, [result, reply] { reply(result); });
}

void FakeStore::Read(const model::StoreRequest& request, const Reply& reply,
                     bool stale) const {
  StoreResult result;
  result.id = request.id;
  result.outcome = StoreOutcome::kAbsent;
  const auto found = entries_.find(request.key);
  if (found != entries_.end() && found->second.revision != 0) {
    const Entry& entry = found->second;
    const bool use_previous = stale && entry.previous_revision != 0;
    result.outcome = StoreOutcome::kOk;
    result.value = use_previous ? entry.previous_value : entry.value;
    result.revision = use_previous ? entry.previous_revision : entry.revision;
  }
  queue_.After(delay_ / 2, [result, reply] { reply(result); });
}

void FakeStore::StartWatch(const model::StoreRequest& request,
                           const Reply& reply) {
  const auto found = entries_.find(request.key);
  const std::uint64_t revision =
      found == entries_.end() ? 0 : found->second.revision;
  if (revision != request.revision) return Read(request, reply, false);
  const std::uint64_t id = ++last_watch_;
  watches_.emplace(id, Watch{request, reply});
  queue_.After(request.max_wait, [this, id] {
    auto node = watches_.extract(id);
    if (!node.empty()) Read(node.mapped().request, node.mapped().reply, false);
  });
}

StoreResult FakeStore::CompareAndSwap(const model::StoreRequest& request) {
  StoreResult result;
  result.id = request.id;
  Entry& entry = entries_[request.key];
  if (entry.revision != request.revision) {
    result.outcome = StoreOutcome::kConflict;
    return result;
  }
  entry.previous_value = std::exchange(entry.value, request.value);
  entry.previous_revision = std::exchange(entry.revision, ++last_revision_);
  result.outcome = StoreOutcome::kOk;
  result.revision = entry.revision;
  NotifyWatches(request.key);
  return result;
}

void FakeStore::NotifyWatches(const std::string& key) {
  std::vector<Watch> fired;
  for (auto item = watches_.begin(); item != watches_.end();) {
    if (item->second.request.key == key) {
      fired.push_back(std::move(item->second));
      item = watches_.erase(item);
    } else {
      ++item;
    }
  }
  for (const Watch& watch : fired) Read(watch.request, watch.reply, false);
}

std::string FakeStore::Value(const std::string& key) const {
  const auto found = entries_.find(key);
  return found == entries_.end() ? std::string() : found->second.value;
}

}  // namespace berylreach::testing
