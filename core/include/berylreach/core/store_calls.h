// Store requests of the state machines of a host.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <unordered_map>

#include "berylreach/core/outbox.h"
#include "berylreach/model/head_record.h"
#include "berylreach/model/order_journal.h"

namespace berylreach::core {

/// The kind of a store call, which determines the component that processes its
/// result.
enum class StoreCallKind : std::uint8_t {
  kHeadRead,
  kHeadCas,
  kPartRead,
  kJournalRead,
  kJournalCas
};

/// A store call without a result yet.
struct PendingStoreCall {
  StoreCallKind kind = StoreCallKind::kHeadRead;
  /// Id that the state machine gave to the call; not used for parts.
  std::uint64_t id = 0;
  /// Hash of the part that is read; empty for other kinds.
  std::string hash;
};

/// Encodes records, builds keys, and maps ids of store requests to the calls of
/// the state machines.
class StoreCalls {
 public:
  /// `environment` is the prefix of all keys.
  StoreCalls(std::string environment, Outbox& outbox)
      : environment_(std::move(environment)), outbox_(outbox) {}

  void ReadHead(std::uint64_t id);
  void WatchHead(std::uint64_t id, std::uint64_t revision,
                 std::chrono::milliseconds wait);
  void CasHead(std::uint64_t id, std::uint64_t revision,
               const model::HeadRecord& record);
  void ReadPart(const std::string& hash);
  void ReadJournal(std::uint64_t id, std::uint32_t bucket);
  void CasJournal(std::uint64_t id, std::uint32_t bucket,
                  std::uint64_t revision, const model::OrderJournal& journal);

  /// Removes and returns the call whose store request has the id `id`; nothing
  /// if the result of the request was already processed.
  std::optional<PendingStoreCall> Finish(std::uint64_t id);

 private:
  void Send(PendingStoreCall call, model::StoreRequest request);

  std::string environment_;
  Outbox& outbox_;
  std::uint64_t last_id_ = 0;
  std::unordered_map<std::uint64_t, PendingStoreCall> pending_;
};

}  // namespace berylreach::core
