// Joins the state machines that use the store to the one store connection.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <unordered_map>

#include "berylreach/core/outbox.h"
#include "berylreach/model/head_record.h"
#include "berylreach/model/order_journal.h"

namespace berylreach::core {

/// Whom a store result is for.
enum class StoreCallKind : std::uint8_t {
  kHeadRead,
  kHeadCas,
  kPart,
  kJournalRead,
  kJournalCas
};

/// A store call that waits for its result.
struct PendingStoreCall {
  StoreCallKind kind = StoreCallKind::kHeadRead;
  /// Id that the state machine gave to the call; unused for parts.
  std::uint64_t id = 0;
  /// Hash of a part.
  std::string hash;
};

/// Encodes records, builds keys, and maps the ids of the state machines to
/// store request ids.
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

  /// Whom the result with the store request id `id` is for; a second result of
  /// one request finds nothing.
  std::optional<PendingStoreCall> Finish(std::uint64_t id);

 private:
  void Send(PendingStoreCall call, model::StoreRequest request);

  std::string environment_;
  Outbox& outbox_;
  std::uint64_t last_id_ = 0;
  std::unordered_map<std::uint64_t, PendingStoreCall> pending_;
};

}  // namespace berylreach::core
