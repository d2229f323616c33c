// Fetching of missing parts from peers and the store.
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

/// Asks one source after the other for a set of parts: first peers that are
/// known to have the document, then the store, then both again.
class PartFetcher {
 public:
  /// Starts to fetch a document; `sources` are peers that have it.
  void Reset(std::vector<model::HostName> sources);

  /// Adds a peer that has the document.
  void AddSource(const model::HostName& peer);

  /// Asks for `missing` if no request is open or the open one timed out.
  void Drive(const std::vector<std::string>& missing, base::TimePoint now,
             Actions& out);

  /// Closes the request to `peer` if it is the open one. A peer that was
  /// `useful` is asked again, another one is replaced.
  void OnPeerAnswer(const model::HostName& peer, bool useful);

  /// Records the end of a store read.
  void OnStoreAnswer(const std::string& hash, bool found, base::TimePoint now);

  /// When Drive is next needed while parts are missing.
  base::TimePoint NextWakeup() const { return deadline_; }

 private:
  void AskPeer(const std::vector<std::string>& missing, base::TimePoint now,
               Actions& out);
  void AskStore(const std::vector<std::string>& missing, base::TimePoint now,
                Actions& out);

  std::vector<model::HostName> sources_;
  std::size_t next_source_ = 0;
  std::size_t asked_ = 0;
  model::HostName asked_peer_;
  bool peer_open_ = false;
  std::set<std::string> store_open_;
  bool store_failed_ = false;
  base::TimePoint deadline_ = base::TimePoint::min();
};

}  // namespace berylreach::rollout
