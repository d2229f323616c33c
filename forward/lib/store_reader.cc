// Transitions between the reads of the store.
#include "berylreach/forward/store_reader.h"

#include <algorithm>
#include <utility>

#include "berylreach/forward/choose_feed_host.h"
#include "berylreach/forward/poll_times.h"

namespace berylreach::forward {
namespace {

using std::chrono::milliseconds;

/// Longest wait of one watch. It is short because a store that was away may
/// have dropped the watch without closing the connection, which probes of the
/// connection do not detect.
constexpr milliseconds kMaxWatchWait{4000};
constexpr milliseconds kMinWatchWait{500};
/// Time that a watch may take beyond its own wait.
constexpr milliseconds kWatchTimeoutMargin{1500};
/// Time that a lost watch may take beyond its wait until the changes are
/// applied: the margin, a check of timeouts, the retry and its round trip.
constexpr milliseconds kLostWatchOverhead{2000};
/// Wait of a read of changes that asks the store to answer at once.
constexpr milliseconds kNoWait{1};

/// Timeout of a listing's page, which may hold 1 MB.
constexpr milliseconds kPageTimeout{2500};
/// Timeout of reads that the store answers at once, while it is unknown whether
/// it answers. A read that was sent before the store returned is lost, so this
/// is most of the time by which this host's view lags behind the return.
constexpr milliseconds kShortTimeout{1300};
constexpr milliseconds kMaxShortTimeout{5000};

/// Status of a successful answer, for the log.
constexpr int kAnsweredStatus = 200;

/// Delay after a change before the next watch, so that further changes arrive
/// in one batch. The platform counts each call, and changes must take effect on
/// all hosts within a few seconds.
constexpr milliseconds kChangeBatchDelay{500};

/// Time within which an undisturbed host learns of a change from the store. The
/// change may have come right after an answer to a watch.
constexpr milliseconds kUndisturbedDelay =
    kChangeBatchDelay + StoreReader::kReportTime;

/// Longest time for which an undisturbed host that watches the store does not
/// know whether its view is current: the interval of its other calls to the
/// store, their answers, kReportTime and kChangeBatchDelay.
constexpr milliseconds kUndisturbedViewAge{3500};

/// Time for which a host that could not serve its feed is not asked again.
/// kFailedFeedPauseAtStartup applies while this host has no view.
constexpr milliseconds kFailedFeedPause{5000};
constexpr milliseconds kFailedFeedPauseAtStartup{1000};

/// Bounds of the time between the starts of consecutive failed reads, which
/// doubles with each failure.
constexpr milliseconds kMinRetryInterval{200};
constexpr milliseconds kMaxRetryInterval{1000};
constexpr int kMaxCountedFailures = 4;
/// Shortest delay of a retry. A read that has timed out has already waited.
constexpr milliseconds kMinRetryDelay{100};
/// A host without a view cannot serve requests yet, so it retries sooner.
constexpr milliseconds kStartupRetryDelay{150};

}  // namespace

StoreReader::StoreReader(const base::Clock& clock, HostEntry self,
                         milliseconds max_staleness)
    : clock_(clock),
      self_(std::move(self)),
      watch_wait_(std::clamp(max_staleness - kLostWatchOverhead, kMinWatchWait,
                             kMaxWatchWait)),
      short_timeout_(kShortTimeout) {}

void StoreReader::StartNextRead(const std::vector<HostEntry>& hosts,
                                Actions& actions) {
  if (is_pending()) return;
  read_sent_at_ = clock_.Now();
  if (hosts_) {
    StartPage(true, actions);
    return;
  }
  const auto feed =
      std::exchange(ask_store_next_, false)
          ? std::nullopt
          : ChooseFeedHost(self_, hosts, [this](const std::string& host) {
              return FeedFailed(host);
            });
  if (feed) {
    StartFeed(*feed, actions);
  } else if (listing_) {
    StartPage(false, actions);
  } else {
    StartChanges(actions);
  }
}

void StoreReader::StartPage(bool hosts_only, Actions& actions) {
  pending_ = hosts_only ? Pending::kHosts : Pending::kListing;
  const ListingCursor& cursor = hosts_only ? *hosts_ : listing_->cursor;
  actions.push_back(
      ReadPage{hosts_only, cursor.after(),
               store_answered_last_ ? kPageTimeout : short_timeout_});
}

void StoreReader::StartChanges(Actions& actions) {
  pending_ = Pending::kChanges;
  missing_.reset();
  // A watch that is sent while the store is away is lost, and this host would
  // wait for it although the store has returned.
  const bool waits = !confirming_ && store_answered_last_;
  read_wait_ = waits ? watch_wait_ : kNoWait;
  actions.push_back(
      ReadChanges{position_.revision, read_wait_,
                  waits ? watch_wait_ + kWatchTimeoutMargin : short_timeout_});
}

void StoreReader::StartFeed(const HostEntry& host, Actions& actions) {
  pending_ = Pending::kFeed;
  feed_host_ = host.name;
  store_answered_last_ = false;
  const PollTimes times = PollTimesFor(
      feed_heeds_wait_ ? std::optional(clock_.Now() - currency().until)
                       : std::nullopt);
  const milliseconds wait = confirming_ ? milliseconds(0) : times.wait;
  // A host that follows another one serves no followers, since they would have
  // to wait for that host in turn.
  actions.push_back(SetFeedFresh{false});
  actions.push_back(ReadFeed{host, position_, era_, wait, times.timeout});
}

void StoreReader::OnPage(StorePage page, Actions& actions) {
  const ListingCursor& cursor =
      pending_ == Pending::kHosts ? *hosts_ : listing_->cursor;
  if (!cursor.Accepts(page)) {
    RetryLater("range without a new key", kAnsweredStatus, actions);
    return;
  }
  OnStoreAnswered(actions);
  const Pending read = std::exchange(pending_, Pending::kNone);
  if (!AcceptEra(page.position, actions)) return;
  if (read == Pending::kHosts) {
    OnHostsPage(std::move(page), actions);
  } else {
    OnListingPage(std::move(page), actions);
  }
}

void StoreReader::OnHostsPage(StorePage page, Actions& actions) {
  hosts_->Advance(page);
  if (!page.truncated) hosts_.reset();
  actions.push_back(ApplyRecordChanges{std::move(page.changes), std::nullopt});
}

void StoreReader::OnListingPage(StorePage page, Actions& actions) {
  if (listing_->cursor.at_start()) {
    listing_->position = {.era = era_, .revision = page.position.revision};
    listing_->began_at = read_sent_at_;
  }
  listing_->cursor.Advance(page);
  for (RecordChange& item : page.changes)
    if (item.value) listing_->records[item.key] = std::move(*item.value);
  if (page.truncated) return;
  // Only now are all changes up to the listing's revision applied. Watching
  // from there any sooner would lose them.
  position_ = listing_->position;
  actions.push_back(ReplaceRecords{std::move(listing_->records), position_,
                                   currency().until});
  currency_.OnReadAnswered(clock_.Now(), listing_->began_at);
  listing_.reset();
  actions.push_back(SetFeedFresh{true});
  ConfirmIfAwaited(actions);
}

void StoreReader::OnChanges(StorePage page, Actions& actions) {
  OnStoreAnswered(actions);
  std::erase_if(failed_feeds_, [this](const auto& feed) {
    return feed.second <= clock_.Now();
  });
  pending_ = Pending::kNone;
  // The revision that was asked for has another meaning in another era.
  if (!AcceptEra(page.position, actions) || listing_) return;
  const bool changed = !page.changes.empty();
  position_.revision = std::max(position_.revision, page.position.revision);
  actions.push_back(
      ApplyRecordChanges{.changes = std::move(page.changes),
                         .position = position_,
                         .acknowledged_after = AcknowledgedAfter(),
                         .proven_after = currency().until});
  currency_.OnReadAnswered(clock_.Now(), CurrentByAnswer(changed));
  ConfirmIfAwaited(actions);
  actions.push_back(SetFeedFresh{true});
  if (changed) Wait(kChangeBatchDelay, actions);
}

bool StoreReader::AcceptEra(StorePosition position, Actions& actions) {
  // An answer that states no era is taken for one of the present era.
  if (position.era == 0 || position.era == era_) return true;
  if (position.era < era_) {
    // The answer was sent before the store came back from its copy.
    RetryLater("old era", kAnsweredStatus, actions);
    return false;
  }
  return !BeginEra(position.era, actions);
}

void StoreReader::OnStoreEra(std::uint64_t era, Actions& actions) {
  if (era <= era_) return;
  const bool reading =
      pending_ != Pending::kNone && pending_ != Pending::kWakeUp;
  if (!BeginEra(era, actions) || !reading) return;
  // A watch from the old revision may never end, and the host whose feed is
  // read may not know of the era yet.
  actions.push_back(CancelRead{});
  pending_ = Pending::kNone;
}

bool StoreReader::BeginEra(std::uint64_t era, Actions& actions) {
  const bool restored = era_ != 0 || position_.revision != 0;
  era_ = era;
  if (!restored) return false;
  currency_.OnInterrupted();
  listing_ = Listing{};
  if (hosts_) hosts_ = ListingCursor{};
  missing_.reset();
  actions.push_back(ReportStoreRestored{era});
  return true;
}

void StoreReader::OnHistoryGone() {
  pending_ = Pending::kNone;
  listing_ = Listing{};
}

void StoreReader::OnReadFailed(int status, Actions& actions) {
  if (status == 0 && !store_answered_last_ && Waited() >= short_timeout_)
    AdaptShortTimeout();
  RetryLater(NameOfPendingRead(), status, actions);
}

void StoreReader::OnFeedAnswer(ChangeSet changes, Actions& actions) {
  // Builds that know no eras state none.
  if (changes.position.era == 0) changes.position.era = era_;
  if (changes.position.era < era_) {
    OnFeedFailed(/*answered=*/true);
    return;
  }
  if (changes.position.era > era_) BeginEra(changes.position.era, actions);
  const bool from_copy = position_.era < era_;
  failed_feeds_.erase(feed_host_);
  MarkAvailable(actions);
  // The other host's times are relative to the arrival of the poll there.
  const base::TimePoint proven_after =
      changes.changes_after_arrival
          ? read_sent_at_ + *changes.changes_after_arrival
          : currency().until;
  feed_heeds_wait_ = changes.poll_wait.has_value();
  if (changes.current_after_arrival)
    currency_.OnReadAnswered(clock_.Now(),
                             read_sent_at_ + *changes.current_after_arrival);
  pending_ = Pending::kNone;
  // The other host's view is complete, so no listing is needed any more.
  if (position_.revision != 0 || changes.is_full_listing) listing_.reset();
  if (changes.is_full_listing) {
    std::map<std::string, std::string> records;
    for (RecordChange& change : changes.changes)
      if (change.value) records[change.key] = std::move(*change.value);
    position_ = changes.position;
    actions.push_back(
        ReplaceRecords{std::move(records), position_, proven_after});
  } else {
    position_ = std::max(position_, changes.position);
    actions.push_back(ApplyRecordChanges{.changes = std::move(changes.changes),
                                         .position = position_,
                                         .from_copy = from_copy,
                                         .acknowledged_after = proven_after,
                                         .proven_after = proven_after});
  }
  ConfirmIfAwaited(actions);
}

void StoreReader::OnFeedFailed(bool answered) {
  pending_ = Pending::kNone;
  currency_.OnInterrupted();
  // The view of this host is older than that of the host which failed, and
  // another host may not answer for a while either. A host without a view
  // serves no callers yet and may wait for it.
  ask_store_next_ = position_.revision != 0 || !answered;
  failed_feeds_[feed_host_] =
      clock_.Now() +
      (position_.revision == 0 ? kFailedFeedPauseAtStartup : kFailedFeedPause);
}

void StoreReader::OnWakeUp() {
  if (pending_ == Pending::kWakeUp) pending_ = Pending::kNone;
}

void StoreReader::OnRenewalAnswered(base::TimePoint sent) {
  renewal_answered_at_ = clock_.Now();
  OnStoreAnsweredBeside(sent);
}

void StoreReader::OnRenewalFailed(base::TimePoint sent, int status,
                                  Actions& actions) {
  if (!store_available_ || pending_ == Pending::kFeed) return;
  // The store has returned since; the renewal was lost before.
  if (store_answered_at_ > sent) return;
  if (pending_ == Pending::kWakeUp) {
    MarkStoreLost("renewal", status, actions);
    return;
  }
  actions.push_back(CancelRead{});
  RetryLater("renewal", status, actions);
}

void StoreReader::OnPositionSeen(base::TimePoint sent, StorePosition position) {
  if (!watches_store() || missing_) return;
  if (position > position_) {
    missing_ = {.position = position, .seen_at = clock_.Now()};
  } else {
    OnStoreAnsweredBeside(sent);
  }
}

void StoreReader::OnStoreAnsweredBeside(base::TimePoint sent) {
  // The answer to a watch that was sent just before may still be on its way.
  if (watches_store() && !missing_ && read_sent_at_ <= sent - kReportTime)
    currency_.PresumeCurrent(sent - kReportTime);
}

void StoreReader::CheckWatch(Actions& actions) {
  if (!watches_store() || !missing_) return;
  if (clock_.Now() < missing_->seen_at + kReportTime) return;
  actions.push_back(CancelRead{});
  actions.push_back(LogFailedRead{NameOfPendingRead(), 0, Waited()});
  pending_ = Pending::kNone;
  currency_.OnInterrupted();
  // The next read asks the store to answer at once.
  store_answered_last_ = false;
}

void StoreReader::OnProcessPaused(Actions& actions) {
  actions.push_back(SetFeedFresh{false});
  actions.push_back(CancelRead{});
  pending_ = Pending::kNone;
  currency_.OnInterrupted();
  confirming_ = true;
  // Pages read before the pause may be much older than those after it.
  if (listing_) listing_ = Listing{};
}

void StoreReader::RetryLater(const std::string& read, int status,
                             Actions& actions) {
  failures_ = std::min(failures_ + 1, kMaxCountedFailures);
  actions.push_back(LogFailedRead{read, status, Waited()});
  MarkStoreLost(read, status, actions);
  Wait(RetryDelay(), actions);
}

void StoreReader::MarkStoreLost(const std::string& read, int status,
                                Actions& actions) {
  actions.push_back(SetFeedFresh{false});
  currency_.OnInterrupted();
  store_answered_last_ = false;
  if (std::exchange(store_available_, false))
    actions.push_back(ReportStoreLost{read, status});
}

void StoreReader::OnStoreAnswered(Actions& actions) {
  store_answered_last_ = true;
  store_answered_at_ = clock_.Now();
  MarkAvailable(actions);
}

base::TimePoint StoreReader::AcknowledgedAfter() const {
  const base::TimePoint now = clock_.Now();
  const base::TimePoint until = currency().until;
  const bool disturbed =
      currency_.interrupted() || now - until > kUndisturbedViewAge;
  return disturbed ? until
                   : std::max<base::TimePoint>(until, now - kUndisturbedDelay);
}

base::TimePoint StoreReader::CurrentByAnswer(bool has_changes) const {
  // The store has answered at some time since the read was sent, and without
  // changes only after it has waited for them.
  const bool waited = !has_changes && Waited() >= read_wait_;
  return read_sent_at_ + (waited ? read_wait_ : milliseconds(0));
}

void StoreReader::MarkAvailable(Actions& actions) {
  failures_ = 0;
  short_timeout_ = kShortTimeout;
  if (!std::exchange(store_available_, true))
    actions.push_back(ReportStoreRegained{NameOfPendingRead(), Waited()});
}

void StoreReader::ConfirmIfAwaited(Actions& actions) {
  if (std::exchange(confirming_, false)) actions.push_back(ConfirmView{});
}

void StoreReader::Wait(milliseconds delay, Actions& actions) {
  pending_ = Pending::kWakeUp;
  actions.push_back(WakeUpAfter{delay});
}

bool StoreReader::FeedFailed(const std::string& host) const {
  const auto found = failed_feeds_.find(host);
  return found != failed_feeds_.end() && clock_.Now() < found->second;
}

milliseconds StoreReader::RetryDelay() const {
  if (position_.revision == 0) return kStartupRetryDelay;
  const milliseconds interval =
      std::min(kMaxRetryInterval, kMinRetryInterval * (1 << (failures_ - 1)));
  const auto waited = std::chrono::duration_cast<milliseconds>(Waited());
  return std::max(kMinRetryDelay, interval - waited);
}

void StoreReader::AdaptShortTimeout() {
  // A renewal that was answered meanwhile shows that the store is slow and not
  // away, or that it returned after the read was sent.
  if (renewal_answered_at_ > read_sent_at_) {
    short_timeout_ = std::min(kMaxShortTimeout, 2 * short_timeout_);
  } else {
    short_timeout_ = kShortTimeout;
  }
}

std::string StoreReader::NameOfPendingRead() const {
  switch (pending_) {
    case Pending::kHosts:
    case Pending::kListing:
      return "range";
    case Pending::kFeed:
      return "feed";
    case Pending::kNone:
    case Pending::kChanges:
    case Pending::kWakeUp:
      break;
  }
  return "watch";
}

}  // namespace berylreach::forward
