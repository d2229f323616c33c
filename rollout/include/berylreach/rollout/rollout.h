// Adoption of documents.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "berylreach/base/clock.h"
#include "berylreach/model/document_offer.h"
#include "berylreach/model/document_ref.h"
#include "berylreach/model/environment.h"
#include "berylreach/model/names.h"
#include "berylreach/model/parts_reply.h"
#include "berylreach/model/parts_request.h"
#include "berylreach/model/peer_message.h"
#include "berylreach/model/store_result.h"
#include "berylreach/rollout/action.h"
#include "berylreach/rollout/assembler.h"
#include "berylreach/rollout/constants.h"
#include "berylreach/rollout/part_fetcher.h"
#include "berylreach/rollout/part_store.h"

namespace berylreach::rollout {

/// State machine of document adoption (section 3.12 of docs/design.md). Event
/// methods append to `out`. A document comes into force only if its version is
/// higher than the current one and all its parts hash correctly. Not
/// thread-safe.
template <Assembler A>
class Rollout {
 public:
  /// `clock` must outlive this object.
  Rollout(const base::Clock& clock, A assembler)
      : clock_(clock), assembler_(std::move(assembler)) {}

  /// Sets the other live members; they get offers and are asked for parts.
  void SetPeers(std::vector<model::HostName> peers) {
    peers_ = std::move(peers);
  }

  /// The head record names `document`.
  void OnAnnounced(const model::DocumentRef& document, Actions& out);

  /// `peer` has `document` in force, as said by an offer, a heartbeat or an
  /// acknowledgement.
  void OnPeerDocument(const model::HostName& peer,
                      const model::DocumentRef& document, Actions& out);

  /// Takes DocumentOffer, PartsRequest and PartsReply; ignores others.
  void OnMessage(const model::HostName& from, const model::PeerMessage& message,
                 Actions& out);

  /// Answer of a ReadPart; `bytes` is used if `outcome` is kOk.
  void OnPartRead(const std::string& hash, model::StoreOutcome outcome,
                  const std::string& bytes, Actions& out);

  /// Repeats unanswered requests.
  void Tick(Actions& out) { Advance(out); }

  /// When Tick is next needed; the maximum of the time type if nothing is
  /// missing.
  base::TimePoint NextWakeup() const {
    return wanted_ ? fetcher_.NextWakeup() : base::TimePoint::max();
  }

  /// The document in force; version 0 before the first.
  const model::DocumentRef& current() const { return current_; }

  /// The environment in force; empty before the first document.
  const model::Environment& environment() const { return environment_; }

 private:
  void Want(const model::DocumentRef& document,
            std::vector<model::HostName> sources, Actions& out);
  void Advance(Actions& out);
  std::optional<std::vector<std::string>> MissingParts(Actions& out);
  void PutInForce(Actions& out);
  void Reject(base::Findings findings, Actions& out);
  void Serve(const model::HostName& from, const model::PartsRequest& request,
             Actions& out) const;
  void OnReply(const model::HostName& from, const model::PartsReply& reply,
               Actions& out);
  void AddPart(const std::string& bytes);

  const base::Clock& clock_;
  A assembler_;
  std::vector<model::HostName> peers_;
  PartStore parts_;
  PartFetcher fetcher_;
  model::DocumentRef current_;
  model::Environment environment_;
  std::optional<model::DocumentRef> wanted_;
  /// Highest version found invalid; it is not fetched again.
  model::DocumentRef rejected_;
};

}  // namespace berylreach::rollout
