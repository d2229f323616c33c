// The serving lease of this host.
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

/// Extends the lease from acknowledgements of a witness majority and from
/// compare-and-swap touches. A proof counts only once this host's document is
/// as new as the one named by the proof.
class ServingLease {
 public:
  /// Starts an epoch; proofs of earlier epochs count no more, but the lease
  /// that they gave stays.
  void StartEpoch(std::uint64_t epoch, std::vector<model::Member> witnesses);

  /// Records a heartbeat sent at `at`.
  void HeartbeatSent(std::uint64_t sequence, base::TimePoint at);

  /// Counts an acknowledgement; ignores those of other epochs, incarnations or
  /// unknown sequences.
  void OnAck(const model::HostName& from, std::uint64_t incarnation,
             const model::HeartbeatAck& ack);

  /// Records an applied compare-and-swap that was started at `started` on a
  /// record of the current epoch that names `document_version`.
  void OnStoreRenewal(base::TimePoint started, std::uint64_t document_version);

  /// Sets the version of the document in force on this host.
  void SetDocumentVersion(std::uint64_t version);

  /// Ends the lease and forgets all proofs.
  void Drop();

  /// End of the lease; the minimum of the time type if there is none.
  base::TimePoint expiry() const { return expiry_; }

 private:
  struct Proof {
    base::TimePoint started;
    std::uint64_t document_version = 0;
  };

  void ForgetOldHeartbeats(base::TimePoint now);
  std::optional<base::TimePoint> MajorityStart() const;
  void Extend();
  void ExtendFrom(base::TimePoint started);

  std::uint64_t epoch_ = 0;
  std::uint64_t document_version_ = 0;
  std::vector<model::Member> witnesses_;
  std::map<std::uint64_t, base::TimePoint> sent_;
  /// Latest acknowledged heartbeat of each witness.
  std::map<model::HostName, Proof> acks_;
  std::optional<Proof> store_renewal_;
  base::TimePoint expiry_ = base::TimePoint::min();
};

}  // namespace berylreach::membership
