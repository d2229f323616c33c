// Timing of the watch of the head record by a delegate.
#include "berylreach/membership/head_watch.h"

#include "berylreach/membership/constants.h"

namespace berylreach::membership {

bool HeadWatch::ShouldIssue(base::TimePoint now) const {
  if (now < not_before_) return false;
  return !id_ || now - issued_ >= wait_ + kWatchGrace;
}

void HeadWatch::Issue(std::uint64_t id, std::uint64_t revision,
                      base::TimePoint now, Actions& out) {
  // The watch that is still open has been lost.
  if (id_) store_answers_ = false;
  id_ = id;
  issued_ = now;
  wait_ = store_answers_ ? kWatchWait : kProbingWatchWait;
  out.push_back(WatchHead{id, revision, wait_});
}

bool HeadWatch::OnResult(std::uint64_t id, model::StoreOutcome outcome,
                         bool newer, base::TimePoint now) {
  if (id_ != id) return false;
  id_.reset();
  store_answers_ = outcome != model::StoreOutcome::kUnknown;
  // A stale read may answer the watch at once, which must not lead to a busy
  // loop.
  not_before_ = store_answers_ && newer ? now : issued_ + kStoreRetryInterval;
  return true;
}

}  // namespace berylreach::membership
