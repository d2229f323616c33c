// State machine of a host's reads of the deployment's records in the store:
// listings, watches, feeds of other hosts, and the retries of lost reads.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "berylreach/base/clock.h"
#include "berylreach/forward/change_log.h"
#include "berylreach/forward/host_entry.h"
#include "berylreach/forward/listing_cursor.h"
#include "berylreach/forward/store_page.h"
#include "berylreach/forward/store_position.h"
#include "berylreach/forward/view_currency.h"

namespace berylreach::forward {

/// Action: read the page of records whose keys sort after `after`.
struct ReadPage {
  /// Only the records of registered hosts instead of all records.
  bool hosts_only = false;
  std::string after;
  std::chrono::milliseconds timeout{};
};

/// Action: read the changes after `revision`. If there are none, the store
/// waits up to `wait` for the first one.
struct ReadChanges {
  std::uint64_t revision = 0;
  std::chrono::milliseconds wait{};
  std::chrono::milliseconds timeout{};
};

/// Action: read the changes that this host's view lacks from the feed of
/// another host.
struct ReadFeed {
  HostEntry host;
  /// Position of this host's view, and the latest era of the store that this
  /// host has heard of.
  StorePosition view;
  std::uint64_t known_era = 0;
  /// Time for which the host may hold its response back while there are no
  /// changes.
  std::chrono::milliseconds wait{};
  std::chrono::milliseconds timeout{};
};

/// Action: drop the read in flight, from the store or from another host.
struct CancelRead {};

/// Action: call OnWakeUp after `delay`, instead of an earlier wake-up.
struct WakeUpAfter {
  std::chrono::milliseconds delay{};
};

/// Action: replace all records by a complete listing.
struct ReplaceRecords {
  std::map<std::string, std::string> records;
  StorePosition position;
  /// See ApplyRecordChanges::proven_after.
  base::TimePoint proven_after{};
};

/// Action: apply changes of records.
struct ApplyRecordChanges {
  std::vector<RecordChange> changes;
  /// Position that the changes lead to; empty for the records of hosts that are
  /// read before the first listing.
  std::optional<StorePosition> position;
  /// Whether the changes lead from an earlier era to the copy from which the
  /// store came back, and are not all newer than what they replace.
  bool from_copy = false;
  /// The store acknowledged the changes after this, unless this host's process
  /// or its path to the store has just been disturbed. For this host's own use,
  /// since no time limit binds a host that has been disturbed.
  base::TimePoint acknowledged_after{};
  /// The store acknowledged the changes after this, whatever has disturbed this
  /// host. For its followers, which the time limits bind all the same.
  base::TimePoint proven_after{};
};

/// Action: set whether followers may rely on this host's view of the store.
struct SetFeedFresh {
  bool fresh = false;
};

/// Action: log a failed read. `status` is 0 if there was no response.
struct LogFailedRead {
  std::string read;
  int status = 0;
  base::Duration waited{};
};

/// Action: handle the loss of the store.
struct ReportStoreLost {
  std::string read;
  int status = 0;
};

/// Action: handle the return of the store.
struct ReportStoreRegained {
  std::string read;
  base::Duration waited{};
};

/// Action: handle the return of the store from an older copy of itself. What
/// this host has written since that copy is gone, its lease too, and records
/// may be older than those of this host's view until their writers have written
/// them again.
struct ReportStoreRestored {
  std::uint64_t era = 0;
};

/// Action: report that the view is current after a pause of this process.
struct ConfirmView {};

using StoreReadAction =
    std::variant<ReadPage, ReadChanges, ReadFeed, CancelRead, WakeUpAfter,
                 ReplaceRecords, ApplyRecordChanges, SetFeedFresh,
                 LogFailedRead, ReportStoreLost, ReportStoreRegained,
                 ReportStoreRestored, ConfirmView>;

/// Decides what a host reads next, from whom, and how long it waits for it, so
/// that its view of the records soon equals the store's after any disturbance.
/// One read or wake-up is pending at a time. Each event appends its actions to
/// `actions`; the caller executes them in order and then calls StartNextRead.
/// Not thread-safe.
class StoreReader {
 public:
  using Actions = std::vector<StoreReadAction>;

  /// Time within which a waiting watch or feed reports a change, unless it is
  /// lost. Only calls to the store that are sent this much later than a watch
  /// show that it waits.
  static constexpr std::chrono::milliseconds kReportTime{300};

  /// `max_staleness` bounds the time after a disturbance of the store in which
  /// this host may miss changes.
  StoreReader(const base::Clock& clock, HostEntry self,
              std::chrono::milliseconds max_staleness);

  /// Starts a read unless a read or a wake-up is pending. `hosts` are the
  /// registered hosts known so far.
  void StartNextRead(const std::vector<HostEntry>& hosts, Actions& actions);

  /// Handle the answers to reads of the store. A page that brings nothing new
  /// although more follow counts as a failed read, which is repeated later.
  void OnPage(StorePage page, Actions& actions);
  void OnChanges(StorePage page, Actions& actions);
  /// Handles the store's answer that it has discarded the changes after this
  /// host's revision.
  void OnHistoryGone();
  /// Handles a read of the store that failed or was answered with another
  /// status than success. `status` is 0 if there was no response.
  void OnReadFailed(int status, Actions& actions);
  /// Handle the result of a read of another host's feed. `answered` is whether
  /// the host has answered at all.
  void OnFeedAnswer(ChangeSet changes, Actions& actions);
  void OnFeedFailed(bool answered);
  void OnWakeUp();
  /// Handle the result of a renewal of this host's lease, which shows whether
  /// the store serves this host at all. `sent` is the time at which it was
  /// sent, and `status` is 0 if there was no response.
  void OnRenewalFailed(base::TimePoint sent, int status, Actions& actions);
  void OnRenewalAnswered(base::TimePoint sent);
  /// Handles the position of the store that a call beside the reads has
  /// returned, which was sent at `sent`. A watch that is not answered soon
  /// although the store has newer changes is lost; CheckWatch then ends it.
  void OnPositionSeen(base::TimePoint sent, StorePosition position);
  /// Handles the era that the store has stated in an answer to any call beside
  /// the reads, or of which another host knows. In a later era than the one
  /// known so far, this host's view is replaced by a listing.
  void OnStoreEra(std::uint64_t era, Actions& actions);
  /// Ends a watch that has proved to be lost. To be called several times a
  /// second.
  void CheckWatch(Actions& actions);
  /// Handles the end of a pause of this process: answers to reads in flight may
  /// have been sent before the pause.
  void OnProcessPaused(Actions& actions);

  /// Position of the store up to which all changes have been applied; its
  /// revision is 0 if there is no view yet.
  StorePosition position() const { return position_; }
  /// How current the view is.
  ViewCurrency currency() const { return currency_.currency(); }
  /// Whether a read or a wake-up is pending, so that StartNextRead has nothing
  /// to start.
  bool is_pending() const { return pending_ != Pending::kNone; }
  /// Whether this host currently reads the store and not another host's feed.
  bool reads_store() const { return pending_ != Pending::kFeed; }
  /// Whether this host waits for the store to report changes.
  bool watches_store() const {
    return pending_ == Pending::kChanges && store_answered_last_ &&
           !confirming_;
  }

 private:
  enum class Pending { kNone, kHosts, kListing, kChanges, kFeed, kWakeUp };

  /// A listing of which pages are still missing.
  struct Listing {
    std::map<std::string, std::string> records;
    /// Position of the first page. The pages are not one snapshot, so the
    /// changes since then must be read after the listing.
    StorePosition position;
    /// When the first page was requested.
    base::TimePoint began_at{};
    ListingCursor cursor;
  };

  /// A position of the store whose changes the pending watch has not reported.
  struct MissingChanges {
    StorePosition position;
    base::TimePoint seen_at{};
  };

  void StartPage(bool hosts_only, Actions& actions);
  void StartChanges(Actions& actions);
  void StartFeed(const HostEntry& host, Actions& actions);
  /// Handles the era of an answer to the pending read, which has ended. Returns
  /// whether the answer belongs to the latest era.
  bool AcceptEra(StorePosition position, Actions& actions);
  /// Handles an era later than the known one. Returns whether the store came
  /// back from a copy; false if the era is the first one known.
  bool BeginEra(std::uint64_t era, Actions& actions);
  void OnHostsPage(StorePage page, Actions& actions);
  void OnListingPage(StorePage page, Actions& actions);
  /// Handles the failure of `read`, which must have been ended.
  void RetryLater(const std::string& read, int status, Actions& actions);
  void MarkStoreLost(const std::string& read, int status, Actions& actions);
  void OnStoreAnswered(Actions& actions);
  /// Handles the answer of the store to a call beside the reads that was sent
  /// at `sent`: it would have answered the pending watch before if there had
  /// been changes.
  void OnStoreAnsweredBeside(base::TimePoint sent);
  /// See ApplyRecordChanges::acknowledged_after, for the answer that has just
  /// arrived to a read of changes.
  base::TimePoint AcknowledgedAfter() const;
  /// Until when all acknowledged changes are in the view, by the answer of the
  /// store that has just arrived to a read of changes.
  base::TimePoint CurrentByAnswer(bool has_changes) const;
  /// Handles an answer to the pending read, of the store or of another host.
  void MarkAvailable(Actions& actions);
  void ConfirmIfAwaited(Actions& actions);
  void Wait(std::chrono::milliseconds delay, Actions& actions);
  bool FeedFailed(const std::string& host) const;
  std::chrono::milliseconds RetryDelay() const;
  /// Adapts the timeout of short reads after one has timed out.
  void AdaptShortTimeout();
  base::Duration Waited() const { return clock_.Now() - read_sent_at_; }
  std::string NameOfPendingRead() const;

  const base::Clock& clock_;
  const HostEntry self_;
  const std::chrono::milliseconds watch_wait_;
  Pending pending_ = Pending::kNone;
  base::TimePoint read_sent_at_{};
  /// Time for which the store holds the pending read back while there are no
  /// changes.
  std::chrono::milliseconds read_wait_{};
  ViewCurrencyTracker currency_;
  StorePosition position_;
  /// The latest era of the store that this host has heard of; 0 if none.
  std::uint64_t era_ = 0;
  /// Listing of the host records, until all are known.
  std::optional<ListingCursor> hosts_ = ListingCursor{};
  std::optional<Listing> listing_ = Listing{};
  std::optional<MissingChanges> missing_;
  /// The host whose feed is being read, and hosts that could not serve their
  /// feed, each with the time until which it is not asked again.
  std::string feed_host_;
  std::map<std::string, base::TimePoint> failed_feeds_;
  /// Whether the host that answered a poll last holds polls only for as long as
  /// they ask, and states how current its view is.
  bool feed_heeds_wait_ = false;
  /// Whether the next read is one of the store instead of another feed.
  bool ask_store_next_ = false;
  /// Whether a pause of this process must be followed by a read without wait.
  bool confirming_ = false;
  /// Whether the latest read was answered, by the store or by the host whose
  /// feed it was. Changes are reported.
  bool store_available_ = true;
  /// Whether the latest read was one of the store and was answered. Only then
  /// does this host wait long for the next answer of the store.
  bool store_answered_last_ = true;
  /// Number of consecutive failed reads, up to a maximum.
  int failures_ = 0;
  std::chrono::milliseconds short_timeout_;
  base::TimePoint renewal_answered_at_{};
  /// When the store has last answered a read.
  base::TimePoint store_answered_at_{};
};

}  // namespace berylreach::forward
