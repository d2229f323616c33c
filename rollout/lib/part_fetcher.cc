// Choice of sources, timeouts and retries for missing parts.
#include "berylreach/rollout/part_fetcher.h"

#include <algorithm>
#include <utility>

#include "berylreach/model/parts_request.h"
#include "berylreach/rollout/constants.h"

namespace berylreach::rollout {

void PartFetcher::Reset(std::vector<model::HostName> sources) {
  *this = PartFetcher();
  sources_ = std::move(sources);
}

void PartFetcher::AddSource(const model::HostName& peer) {
  if (std::find(sources_.begin(), sources_.end(), peer) == sources_.end()) {
    sources_.push_back(peer);
  }
}

void PartFetcher::SendRequests(const std::vector<std::string>& missing,
                               base::TimePoint now, Actions& out) {
  if (now < next_request_at_) return;
  if (next_source_ < sources_.size() && peer_requests_ < kMaxPeerRequests) {
    RequestFromPeer(missing, now, out);
  } else {
    ReadFromStore(missing, now, out);
  }
}

void PartFetcher::RequestFromPeer(const std::vector<std::string>& missing,
                                  base::TimePoint now, Actions& out) {
  requested_peer_ = sources_[next_source_];
  peer_request_open_ = true;
  ++next_source_;
  ++peer_requests_;
  next_request_at_ = now + kPeerTimeout;
  out.push_back(SendTo{requested_peer_, model::PartsRequest{missing}});
}

void PartFetcher::ReadFromStore(const std::vector<std::string>& missing,
                                base::TimePoint now, Actions& out) {
  peer_request_open_ = false;
  store_failed_ = false;
  open_store_reads_ = std::set<std::string>(missing.begin(), missing.end());
  for (const std::string& hash : open_store_reads_)
    out.push_back(ReadPart{hash});
  next_request_at_ = now + kStoreTimeout;
  peer_requests_ = 0;
  if (next_source_ >= sources_.size()) next_source_ = 0;
}

void PartFetcher::OnPeerAnswer(const model::HostName& peer, bool useful) {
  if (!peer_request_open_ || requested_peer_ != peer) return;
  peer_request_open_ = false;
  next_request_at_ = base::TimePoint::min();
  if (!useful) return;
  --next_source_;
  peer_requests_ = 0;
}

void PartFetcher::OnStoreAnswer(const std::string& hash, bool found,
                                base::TimePoint now) {
  if (open_store_reads_.erase(hash) == 0) return;
  if (!found) {
    store_failed_ = true;
    next_request_at_ = std::min(next_request_at_, now + kStoreRetryInterval);
    return;
  }
  // Once all reads have succeeded, the next parts are requested at once.
  if (open_store_reads_.empty() && !store_failed_) next_request_at_ = now;
}

}  // namespace berylreach::rollout
