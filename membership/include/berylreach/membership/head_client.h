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
/// time. A write without an answer is resolved by reading back its nonce.
class HeadClient {
 public:
  explicit HeadClient(std::uint64_t seed);

  /// Newest record known; empty with revision 0 if there is none.
  const model::HeadRecord& record() const { return record_; }
  std::uint64_t revision() const { return revision_; }

  /// Whether a new call may start now.
  bool Ready(base::TimePoint now) const;

  /// Whether the head must be read before the next write.
  bool NeedsRead() const;

  /// Whether a write has an unknown outcome.
  bool HasOpenWrite() const { return write_.has_value(); }

  void StartRead(base::TimePoint now, Actions& out);

  /// Writes `record` with a new nonce over the known revision.
  void StartWrite(model::HeadRecord record, base::TimePoint now, Actions& out);

  /// Takes the answer of a read; returns false if `id` is not the call in
  /// flight.
  bool OnRead(std::uint64_t id, model::StoreOutcome outcome,
              const std::optional<model::HeadRecord>& record,
              std::uint64_t revision, base::TimePoint now);

  /// Takes the answer of a write; returns false if `id` is not the call in
  /// flight.
  bool OnWrite(std::uint64_t id, model::StoreOutcome outcome,
               std::uint64_t revision, base::TimePoint now);

  /// Gives up a call in flight for longer than `kStoreCallTimeout`.
  void ExpireCall(base::TimePoint now);

  /// Keeps `record` if it is newer than the known one; older records are stale.
  bool UpdateIfNewer(const model::HeadRecord& record, std::uint64_t revision);

  /// Returns and clears the write that was found to have been applied.
  std::optional<HeadWrite> TakeAppliedWrite();

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
  std::optional<Call> call_;
  std::optional<HeadWrite> write_;
  std::optional<HeadWrite> applied_;
  bool needs_read_ = true;
  /// A revision that a conflict has shown to be outdated.
  std::optional<std::uint64_t> outdated_revision_;
  int conflicts_ = 0;
  base::TimePoint not_before_ = base::TimePoint::min();
};

}  // namespace berylreach::membership
