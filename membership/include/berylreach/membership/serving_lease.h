// The serving lease of this host, without which it accepts no new work.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "berylreach/base/clock.h"
#include "berylreach/model/heartbeat_ack.h"
#include "berylreach/model/member.h"
#include "berylreach/model/names.h"

namespace berylreach::membership {

/// Extends the lease by proofs that this host was a member at some time: a
/// heartbeat that a majority of the witnesses have acknowledged, or a write of
/// the head record that the store has applied. The lease lasts for
/// `kLeaseDuration` from the time at which the heartbeat or write was sent. A
/// proof counts only once the document in force on this host is at least as new
/// as the one that the proof names.
class ServingLease {
 public:
  /// Starts an epoch. Proofs of earlier epochs no longer count, but a lease
  /// that they have extended stays valid.
  void StartEpoch(std::uint64_t epoch, std::vector<model::Member> witnesses);

  /// Records that the heartbeat `sequence` was sent at `at`.
  void HeartbeatSent(std::uint64_t sequence, base::TimePoint at);

  /// Counts an acknowledgement. Ignores it if it is not granted, is of another
  /// epoch, comes from a host or incarnation that is not a witness, or
  /// acknowledges an unknown heartbeat.
  void OnAck(const model::HostName& from, std::uint64_t incarnation,
             const model::HeartbeatAck& ack);

  /// Records that a compare-and-swap started at `started` was applied. The
  /// record that it wrote is of the current epoch and names `document_version`.
  void OnStoreRenewal(base::TimePoint started, std::uint64_t document_version);

  /// Sets the version of the document in force on this host.
  void SetDocumentVersion(std::uint64_t version);

  /// Ends the lease and drops all proofs.
  void Drop();

  /// End of the lease; `TimePoint::min()` if there is none.
  base::TimePoint expiry() const { return expiry_; }

 private:
  struct Proof {
    /// When the heartbeat or write was sent.
    base::TimePoint started;
    std::uint64_t document_version = 0;
  };

  void EraseOldHeartbeats(base::TimePoint now);
  /// The latest time such that a majority of the witnesses have acknowledged a
  /// heartbeat sent then or later.
  std::optional<base::TimePoint> MajorityStart() const;
  /// Extends the lease as far as the recorded proofs allow.
  void Extend();
  void ExtendFrom(base::TimePoint started);

  std::uint64_t epoch_ = 0;
  std::uint64_t document_version_ = 0;
  std::vector<model::Member> witnesses_;
  /// Send times of recent heartbeats by sequence.
  std::map<std::uint64_t, base::TimePoint> sent_;
  /// Latest heartbeat that each witness has acknowledged.
  std::map<model::HostName, Proof> acks_;
  std::optional<Proof> store_renewal_;
  base::TimePoint expiry_ = base::TimePoint::min();
};

}  // namespace berylreach::membership
