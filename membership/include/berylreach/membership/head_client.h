// Reads and writes of the head record.
#pragma once

#include <cstdint>
#include <optional>
#include <random>

#include "berylreach/base/clock.h"
#include "berylreach/membership/action.h"
#include "berylreach/membership/backoff.h"
#include "berylreach/membership/head_write.h"
#include "berylreach/model/head_record.h"
#include "berylreach/model/store_result.h"

namespace berylreach::membership {

/// Keeps the newest known head record and runs at most one read or write at a
/// time. If the outcome of a write is unknown, the record is read again: the
/// write was applied if the record has its nonce.
class HeadClient {
 public:
  explicit HeadClient(std::uint64_t seed);

  /// Newest known record; empty and with revision 0 if none is known.
  const model::HeadRecord& record() const { return record_; }
  std::uint64_t revision() const { return revision_; }

  /// Whether a new call may start now: none is in flight, and no backoff is
  /// pending.
  bool Ready(base::TimePoint now) const;

  /// Whether the head record must be read before the next write.
  bool NeedsRead() const;

  /// Whether a write is in flight or has an unknown outcome.
  bool HasOpenWrite() const { return write_.has_value(); }

  void StartRead(base::TimePoint now, Actions& out);

  /// Starts a compare-and-swap of the known revision by `record` with a new
  /// nonce.
  void StartWrite(model::HeadRecord record, base::TimePoint now, Actions& out);

  /// Processes the result of a read; returns false if `id` is not the call in
  /// flight.
  bool OnRead(std::uint64_t id, model::StoreOutcome outcome,
              const std::optional<model::HeadRecord>& record,
              std::uint64_t revision, base::TimePoint now);

  /// Processes the result of a write; returns false if `id` is not the call in
  /// flight.
  bool OnWrite(std::uint64_t id, model::StoreOutcome outcome,
               std::uint64_t revision, base::TimePoint now);

  /// Treats the outcome of a call that is in flight for longer than
  /// `kStoreCallTimeout` as unknown.
  void ExpireCall(base::TimePoint now);

  /// Keeps `record` if it is newer than the known one; returns whether it is.
  bool UpdateIfNewer(const model::HeadRecord& record, std::uint64_t revision);

  /// Returns and clears the last write that is known to have been applied.
  std::optional<HeadWrite> TakeAppliedWrite();

  /// Id for the next store call; also used for watches.
  std::uint64_t NextId() { return ++last_id_; }

 private:
  struct Call {
    std::uint64_t id = 0;
    bool is_write = false;
    base::TimePoint started;
  };

  void OnUnknown(base::TimePoint now);
  void OnConflict(base::TimePoint now);

  std::mt19937_64 random_;
  Backoff backoff_;
  model::HeadRecord record_;
  std::uint64_t revision_ = 0;
  std::uint64_t last_id_ = 0;
  /// Call in flight.
  std::optional<Call> call_;
  /// Write in flight or with an unknown outcome.
  std::optional<HeadWrite> write_;
  std::optional<HeadWrite> applied_;
  bool needs_read_ = true;
  /// The known revision, if a conflict has shown that a newer one exists.
  std::optional<std::uint64_t> outdated_revision_;
  /// Consecutive conflicts without a delay in between.
  int conflicts_ = 0;
  base::TimePoint not_before_ = base::TimePoint::min();
};

}  // namespace berylreach::membership
