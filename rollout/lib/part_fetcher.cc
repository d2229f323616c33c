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
  if (now < deadline_) return;
  if (next_source_ < sources_.size() && peers_asked_ < kMaxPeersAsked) {
    AskPeer(missing, now, out);
  } else {
    AskStore(missing, now, out);
  }
}

void PartFetcher::AskPeer(const std::vector<std::string>& missing,
                          base::TimePoint now, Actions& out) {
  requested_peer_ = sources_[next_source_];
  peer_request_open_ = true;
  ++next_source_;
  ++peers_asked_;
  deadline_ = now + kPeerTimeout;
  out.push_back(SendTo{requested_peer_, model::PartsRequest{missing}});
}

void PartFetcher::AskStore(const std::vector<std::string>& missing,
                           base::TimePoint now, Actions& out) {
  peer_request_open_ = false;
  store_failed_ = false;
  open_store_reads_ = std::set<std::string>(missing.begin(), missing.end());
  for (const std::string& hash : open_store_reads_)
    out.push_back(ReadPart{hash});
  deadline_ = now + kStoreTimeout;
  peers_asked_ = 0;
  if (next_source_ >= sources_.size()) next_source_ = 0;
}

void PartFetcher::OnPeerAnswer(const model::HostName& peer, bool useful) {
  if (!peer_request_open_ || requested_peer_ != peer) return;
  peer_request_open_ = false;
  deadline_ = base::TimePoint::min();
  if (!useful) return;
  --next_source_;
  peers_asked_ = 0;
}

void PartFetcher::OnStoreAnswer(const std::string& hash, bool found,
                                base::TimePoint now) {
  if (open_store_reads_.erase(hash) == 0) return;
  if (!found) {
    store_failed_ = true;
    deadline_ = std::min(deadline_, now + kStoreRetryInterval);
    return;
  }
  // The next parts may be requested at once, but new reads may start only when
  // all open reads have succeeded.
  if (open_store_reads_.empty() && !store_failed_) deadline_ = now;
}

}  // namespace berylreach::rollout
