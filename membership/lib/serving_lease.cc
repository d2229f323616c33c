// Extension of the serving lease by acknowledged heartbeats and store writes.
#include "berylreach/membership/serving_lease.h"

#include <algorithm>
#include <functional>
#include <utility>

#include "berylreach/membership/constants.h"
#include "berylreach/membership/witness_set.h"

namespace berylreach::membership {

void ServingLease::StartEpoch(std::uint64_t epoch,
                              std::vector<model::Member> witnesses) {
  epoch_ = epoch;
  witnesses_ = std::move(witnesses);
  sent_.clear();
  acks_.clear();
  store_renewal_.reset();
}

void ServingLease::HeartbeatSent(std::uint64_t sequence, base::TimePoint at) {
  EraseOldHeartbeats(at);
  sent_.emplace(sequence, at);
}

void ServingLease::EraseOldHeartbeats(base::TimePoint now) {
  while (!sent_.empty() && now - sent_.begin()->second > kLeaseDuration) {
    sent_.erase(sent_.begin());
  }
}

void ServingLease::OnAck(const model::HostName& from, std::uint64_t incarnation,
                         const model::HeartbeatAck& ack) {
  if (!ack.granted || ack.epoch != epoch_) return;
  if (FindMember(witnesses_, from, incarnation) == nullptr) return;
  const auto sent = sent_.find(ack.sequence);
  if (sent == sent_.end()) return;
  const auto known = acks_.find(from);
  if (known != acks_.end() && known->second.started >= sent->second) return;
  acks_[from] = Proof{sent->second, ack.document.version};
  Extend();
}

void ServingLease::OnStoreRenewal(base::TimePoint started,
                                  std::uint64_t document_version) {
  store_renewal_ = Proof{started, document_version};
  Extend();
}

void ServingLease::SetDocumentVersion(std::uint64_t version) {
  if (version == document_version_) return;
  document_version_ = version;
  Extend();
}

void ServingLease::Drop() {
  StartEpoch(epoch_, {});
  expiry_ = base::TimePoint::min();
}

std::optional<base::TimePoint> ServingLease::MajorityStart() const {
  if (witnesses_.empty()) return std::nullopt;
  std::vector<base::TimePoint> starts;
  for (const auto& [host, proof] : acks_) {
    if (proof.document_version <= document_version_) {
      starts.push_back(proof.started);
    }
  }
  const std::size_t quorum = WitnessQuorum(witnesses_.size() + 1);
  if (starts.size() < quorum) return std::nullopt;
  std::sort(starts.begin(), starts.end(), std::greater<>());
  return starts[quorum - 1];
}

void ServingLease::Extend() {
  if (const auto started = MajorityStart()) ExtendFrom(*started);
  if (store_renewal_ && store_renewal_->document_version <= document_version_) {
    ExtendFrom(store_renewal_->started);
  }
}

void ServingLease::ExtendFrom(base::TimePoint started) {
  expiry_ = std::max(expiry_, started + kLeaseDuration);
}

}  // namespace berylreach::membership
