// State machine that fetches documents and puts them in force.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "berylreach/base/clock.h"
#include "berylreach/base/finding.h"
#include "berylreach/base/hash.h"
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

/// Fetches new documents and puts them in force (section 3.12 of
/// docs/design.md). Event methods append their actions to `out`. A document
/// comes into force only if its version is higher than the current one, the
/// content hashes of all its parts are correct, and it is valid. Not
/// thread-safe.
template <Assembler A>
class Rollout {
 public:
  /// `clock` must outlive this object.
  Rollout(const base::Clock& clock, A assembler)
      : clock_(clock), assembler_(std::move(assembler)) {}

  /// Sets the other live members. They are sent offers of new documents and
  /// requests for parts.
  void SetPeers(std::vector<model::HostName> peers) {
    peers_ = std::move(peers);
  }

  /// The head record in the store names `document`.
  void OnHeadDocument(const model::DocumentRef& document, Actions& out);

  /// `peer` has `document` in force, as reported by an offer, a heartbeat or
  /// its acknowledgement.
  void OnPeerDocument(const model::HostName& peer,
                      const model::DocumentRef& document, Actions& out);

  /// Handles DocumentOffer, PartsRequest and PartsReply; ignores other
  /// messages.
  void OnMessage(const model::HostName& from, const model::PeerMessage& message,
                 Actions& out);

  /// Handles the result of a ReadPart; `bytes` is used only if `outcome` is
  /// kOk.
  void OnPartRead(const std::string& hash, model::StoreOutcome outcome,
                  const std::string& bytes, Actions& out);

  /// Requests missing parts again after a timeout.
  void Tick(Actions& out) { Advance(out); }

  /// When Tick is next needed; the maximum of the time type if no document is
  /// being fetched.
  base::TimePoint NextWakeup() const {
    return target_ ? fetcher_.NextWakeup() : base::TimePoint::max();
  }

  /// The document in force; its version is 0 before the first.
  const model::DocumentRef& current() const { return current_; }

  /// The environment in force; empty before the first document.
  const model::Environment& environment() const { return environment_; }

 private:
  /// Starts to fetch `document` if it is newer than the document in force, the
  /// last rejected one and the one being fetched.
  void FetchIfNewer(const model::DocumentRef& document,
                    std::vector<model::HostName> sources, Actions& out);
  /// Requests the parts that are missing, or puts the document in force if
  /// there are none.
  void Advance(Actions& out);
  /// Hashes of the parts that are missing; nullopt if the manifest cannot be
  /// read and the document was rejected.
  std::optional<std::vector<std::string>> MissingParts(Actions& out);
  void PutInForce(Actions& out);
  void Reject(base::Findings findings, Actions& out);
  void ReplyWithParts(const model::HostName& from,
                      const model::PartsRequest& request, Actions& out) const;
  void OnPartsReply(const model::HostName& from, const model::PartsReply& reply,
                    Actions& out);
  /// Stores `bytes` if it is a missing part, and returns its hash; otherwise
  /// nullopt.
  std::optional<std::string> AddIfMissing(const std::string& bytes,
                                          Actions& out);
  /// Removes the parts that do not belong to the document in force.
  void DropUnusedParts();
  /// The peers, starting with another one at each call, so that the first
  /// requests for documents are spread over all peers.
  std::vector<model::HostName> RotatedPeers();

  const base::Clock& clock_;
  A assembler_;
  std::vector<model::HostName> peers_;
  PartStore parts_;
  PartFetcher fetcher_;
  model::DocumentRef current_;
  model::Environment environment_;
  /// The document that is being fetched.
  std::optional<model::DocumentRef> target_;
  /// The last rejected document. It and older versions are not fetched again.
  model::DocumentRef rejected_;
  /// Number of calls of RotatedPeers.
  std::size_t rotation_ = 0;
};

template <Assembler A>
void Rollout<A>::OnHeadDocument(const model::DocumentRef& document,
                                Actions& out) {
  FetchIfNewer(document, RotatedPeers(), out);
}

template <Assembler A>
void Rollout<A>::OnPeerDocument(const model::HostName& peer,
                                const model::DocumentRef& document,
                                Actions& out) {
  if (target_ == document) {
    fetcher_.AddSource(peer);
  } else {
    FetchIfNewer(document, {peer}, out);
  }
}

template <Assembler A>
void Rollout<A>::OnMessage(const model::HostName& from,
                           const model::PeerMessage& message, Actions& out) {
  if (const auto* offer = std::get_if<model::DocumentOffer>(&message)) {
    OnPeerDocument(from, offer->document, out);
  } else if (const auto* request = std::get_if<model::PartsRequest>(&message)) {
    ReplyWithParts(from, *request, out);
  } else if (const auto* reply = std::get_if<model::PartsReply>(&message)) {
    OnPartsReply(from, *reply, out);
  }
}

template <Assembler A>
void Rollout<A>::OnPartRead(const std::string& hash,
                            model::StoreOutcome outcome,
                            const std::string& bytes, Actions& out) {
  const bool found =
      outcome == model::StoreOutcome::kOk && AddIfMissing(bytes, out) == hash;
  fetcher_.OnStoreAnswer(hash, found, clock_.Now());
  Advance(out);
}

template <Assembler A>
void Rollout<A>::FetchIfNewer(const model::DocumentRef& document,
                              std::vector<model::HostName> sources,
                              Actions& out) {
  if (document.version <= current_.version) return;
  if (document.version <= rejected_.version) return;
  if (target_ && document.version <= target_->version) return;
  target_ = document;
  fetcher_.Reset(std::move(sources));
  Advance(out);
}

template <Assembler A>
void Rollout<A>::Advance(Actions& out) {
  if (!target_) return;
  const auto missing = MissingParts(out);
  if (!missing) return;
  if (missing->empty()) {
    PutInForce(out);
  } else {
    fetcher_.SendRequests(*missing, clock_.Now(), out);
  }
}

template <Assembler A>
std::optional<std::vector<std::string>> Rollout<A>::MissingParts(Actions& out) {
  const std::string* manifest = parts_.Find(target_->hash);
  if (manifest == nullptr) return std::vector<std::string>{target_->hash};
  const auto hashes = assembler_.PartHashes(*manifest);
  if (hashes) return parts_.Missing(*hashes);
  Reject({base::Finding{"", "manifest cannot be read"}}, out);
  return std::nullopt;
}

template <Assembler A>
void Rollout<A>::PutInForce(Actions& out) {
  const std::string manifest = *parts_.Find(target_->hash);
  Assembled assembled = assembler_.Assemble(manifest, parts_.parts());
  if (auto* findings = std::get_if<base::Findings>(&assembled)) {
    Reject(std::move(*findings), out);
    return;
  }
  current_ = *target_;
  target_.reset();
  environment_ = std::move(std::get<model::Environment>(assembled));
  DropUnusedParts();
  out.push_back(DocumentInForce{current_});
  out.push_back(RecordEvent{"document_in_force",
                            std::to_string(current_.version), current_.hash});
  for (const model::HostName& peer : peers_) {
    out.push_back(SendTo{peer, model::DocumentOffer{current_}});
  }
}

template <Assembler A>
void Rollout<A>::Reject(base::Findings findings, Actions& out) {
  rejected_ = *target_;
  target_.reset();
  DropUnusedParts();
  out.push_back(RecordEvent{"document_rejected",
                            std::to_string(rejected_.version),
                            std::to_string(findings.size()) + " findings"});
  out.push_back(DocumentRejected{rejected_, std::move(findings)});
}

template <Assembler A>
void Rollout<A>::DropUnusedParts() {
  std::vector<std::string> hashes;
  if (const std::string* manifest = parts_.Find(current_.hash)) {
    hashes = assembler_.PartHashes(*manifest).value_or(hashes);
    hashes.push_back(current_.hash);
  }
  parts_.Retain(hashes);
}

template <Assembler A>
void Rollout<A>::ReplyWithParts(const model::HostName& from,
                                const model::PartsRequest& request,
                                Actions& out) const {
  // A reply is sent even if it is empty, so that the peer asks another source
  // at once instead of waiting for the timeout.
  model::PartsReply reply;
  for (const std::string& hash : request.hashes) {
    if (const std::string* part = parts_.Find(hash)) {
      reply.parts.push_back(*part);
    }
  }
  out.push_back(SendTo{from, std::move(reply)});
}

template <Assembler A>
void Rollout<A>::OnPartsReply(const model::HostName& from,
                              const model::PartsReply& reply, Actions& out) {
  bool useful = false;
  for (const std::string& part : reply.parts) {
    if (AddIfMissing(part, out)) useful = true;
  }
  fetcher_.OnPeerAnswer(from, useful);
  Advance(out);
}

template <Assembler A>
std::optional<std::string> Rollout<A>::AddIfMissing(const std::string& bytes,
                                                    Actions& out) {
  if (!target_) return std::nullopt;
  const auto missing = MissingParts(out);
  if (!missing) return std::nullopt;
  std::string hash = base::ContentHash(bytes);
  if (std::find(missing->begin(), missing->end(), hash) == missing->end()) {
    return std::nullopt;
  }
  parts_.Add(bytes);
  return hash;
}

template <Assembler A>
std::vector<model::HostName> Rollout<A>::RotatedPeers() {
  std::vector<model::HostName> peers = peers_;
  if (peers.empty()) return peers;
  const auto first = static_cast<std::ptrdiff_t>(rotation_++ % peers.size());
  std::rotate(peers.begin(), peers.begin() + first, peers.end());
  return peers;
}

}  // namespace berylreach::rollout
