// Keys and encoding of the records in the store.
#include "berylreach/core/store_calls.h"

#include <utility>

#include "berylreach/config/head_record_codec.h"
#include "berylreach/config/order_journal_codec.h"

namespace berylreach::core {
namespace {

using model::StoreOperation;
using model::StoreRequest;

std::string HeadKey(const std::string& environment) {
  return environment + "/head";
}

std::string JournalKey(const std::string& environment, std::uint32_t bucket) {
  return environment + "/orders/" + std::to_string(bucket);
}

}  // namespace

void StoreCalls::ReadHead(std::uint64_t id) {
  Send({StoreCallKind::kHeadRead, id, {}},
       StoreRequest{.operation = StoreOperation::kRead,
                    .key = HeadKey(environment_)});
}

void StoreCalls::WatchHead(std::uint64_t id, std::uint64_t revision,
                           std::chrono::milliseconds wait) {
  Send({StoreCallKind::kHeadRead, id, {}},
       StoreRequest{.operation = StoreOperation::kWatch,
                    .key = HeadKey(environment_),
                    .revision = revision,
                    .max_wait = wait});
}

void StoreCalls::CasHead(std::uint64_t id, std::uint64_t revision,
                         const model::HeadRecord& record) {
  Send({StoreCallKind::kHeadCas, id, {}},
       StoreRequest{.operation = StoreOperation::kCompareAndSwap,
                    .key = HeadKey(environment_),
                    .value = config::EncodeHeadRecord(record),
                    .revision = revision});
}

void StoreCalls::ReadPart(const std::string& hash) {
  Send({StoreCallKind::kPartRead, 0, hash},
       StoreRequest{.operation = StoreOperation::kRead,
                    .key = environment_ + "/parts/" + hash});
}

void StoreCalls::ReadJournal(std::uint64_t id, std::uint32_t bucket) {
  Send({StoreCallKind::kJournalRead, id, {}},
       StoreRequest{.operation = StoreOperation::kRead,
                    .key = JournalKey(environment_, bucket)});
}

void StoreCalls::CasJournal(std::uint64_t id, std::uint32_t bucket,
                            std::uint64_t revision,
                            const model::OrderJournal& journal) {
  Send({StoreCallKind::kJournalCas, id, {}},
       StoreRequest{.operation = StoreOperation::kCompareAndSwap,
                    .key = JournalKey(environment_, bucket),
                    .value = config::EncodeOrderJournal(journal),
                    .revision = revision});
}

std::optional<PendingStoreCall> StoreCalls::Finish(std::uint64_t id) {
  auto node = pending_.extract(id);
  if (node.empty()) return std::nullopt;
  return std::move(node.mapped());
}

void StoreCalls::Send(PendingStoreCall call, model::StoreRequest request) {
  request.id = ++last_id_;
  pending_.emplace(request.id, std::move(call));
  outbox_.Emit(CallStore{std::move(request)});
}

}  // namespace berylreach::core
