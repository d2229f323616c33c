// Fetches missing parts of a document from peers and the store.
#pragma once

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "berylreach/base/clock.h"
#include "berylreach/model/names.h"
#include "berylreach/rollout/action.h"

namespace berylreach::rollout {

/// Requests a set of parts from one source after another: first from peers that
/// are known to have the document, then from the store, then from both again.
class PartFetcher {
 public:
  /// Starts to fetch another document, which the peers `sources` have.
  void Reset(std::vector<model::HostName> sources);

  /// Adds a peer that has the document.
  void AddSource(const model::HostName& peer);

  /// Requests `missing` if no request is open or the open one has timed out.
  void SendRequests(const std::vector<std::string>& missing,
                    base::TimePoint now, Actions& out);

  /// Handles the reply of `peer` if the open request was sent to it. If the
  /// reply was `useful`, the next request goes to the same peer, otherwise to
  /// another source.
  void OnPeerAnswer(const model::HostName& peer, bool useful);

  /// Handles the result of a store read. `found` says whether it returned the
  /// part.
  void OnStoreAnswer(const std::string& hash, bool found, base::TimePoint now);

  /// When SendRequests is next needed while parts are missing.
  base::TimePoint NextWakeup() const { return next_request_at_; }

 private:
  void RequestFromPeer(const std::vector<std::string>& missing,
                       base::TimePoint now, Actions& out);
  void ReadFromStore(const std::vector<std::string>& missing,
                     base::TimePoint now, Actions& out);

  std::vector<model::HostName> sources_;
  /// Index in `sources_` of the peer that gets the next request.
  std::size_t next_source_ = 0;
  /// Number of requests to peers since the last useful reply or store read.
  std::size_t peer_requests_ = 0;
  /// The peer that the last request was sent to.
  model::HostName requested_peer_;
  /// The request to `requested_peer_` has no reply and has not timed out.
  bool peer_request_open_ = false;
  /// Hashes of the parts whose store reads have no result yet.
  std::set<std::string> open_store_reads_;
  /// A store read has failed since the last time that store reads were started.
  bool store_failed_ = false;
  /// No request is sent before this time.
  base::TimePoint next_request_at_ = base::TimePoint::min();
};

}  // namespace berylreach::rollout
