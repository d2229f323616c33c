// Submission of a document by an operator, as a sequence of store calls.
#include "berylreach/testing/operator_session.h"

#include <chrono>
#include <utility>

#include "berylreach/config/document.h"
#include "berylreach/config/document_parts.h"
#include "berylreach/config/head_record_codec.h"

namespace berylreach::testing {
namespace {

using model::StoreOperation;
using model::StoreOutcome;
using model::StoreRequest;
using model::StoreResult;

// Delay before a store call with an unknown outcome is repeated.
constexpr std::chrono::milliseconds kRetryDelay{500};
constexpr const char* kHeadKey = "production/head";

StoreRequest PartWrite(const config::DocumentPart& part) {
  return {.operation = StoreOperation::kCompareAndSwap,
          .key = "production/parts/" + part.hash,
          .value = part.bytes};
}

model::HeadRecord HeadOf(const StoreResult& result) {
  if (result.outcome != StoreOutcome::kOk) return {};
  return *config::DecodeHeadRecord(result.value).value;
}

}  // namespace

OperatorSession::OperatorSession(EventQueue& queue, FakeStore& store,
                                 std::uint64_t nonce,
                                 const model::Environment& environment,
                                 Done done)
    : queue_(queue), store_(store), nonce_(nonce), done_(std::move(done)) {
  const auto document =
      config::SplitDocument(config::EncodeDocument(environment));
  if (!document.value) return;
  manifest_hash_ = document.value->manifest.hash;
  writes_.push_back(PartWrite(document.value->manifest));
  for (const auto& part : document.value->parts)
    writes_.push_back(PartWrite(part));
}

void OperatorSession::Start() {
  if (writes_.empty()) return done_(0);
  ReadBase();
}

void OperatorSession::ReadBase() {
  CallStore({.operation = StoreOperation::kRead, .key = kHeadKey},
            [this](const StoreResult& result) {
              if (result.outcome == StoreOutcome::kUnknown) {
                queue_.After(kRetryDelay,
                             [self = shared_from_this()] { self->ReadBase(); });
                return;
              }
              base_version_ = HeadOf(result).document.version;
              WriteNextPart();
            });
}

void OperatorSession::CallStore(StoreRequest request,
                                std::function<void(const StoreResult&)> next) {
  store_.Call(request, [self = shared_from_this(), next = std::move(next)](
                           const StoreResult& result) { next(result); });
}

void OperatorSession::WriteNextPart() {
  if (next_write_ == writes_.size()) return ReadHead();
  CallStore(writes_[next_write_], [this](const StoreResult& result) {
    // A conflict means that the part exists already. Its key is the hash of its
    // bytes, so the content is the same.
    if (result.outcome != StoreOutcome::kUnknown) ++next_write_;
    const bool retry = result.outcome == StoreOutcome::kUnknown;
    queue_.After(retry ? kRetryDelay : std::chrono::milliseconds(0),
                 [self = shared_from_this()] { self->WriteNextPart(); });
  });
}

void OperatorSession::ReadHead() {
  CallStore({.operation = StoreOperation::kRead, .key = kHeadKey},
            [this](const StoreResult& result) {
              if (result.outcome != StoreOutcome::kUnknown)
                return WriteHead(result);
              queue_.After(kRetryDelay,
                           [self = shared_from_this()] { self->ReadHead(); });
            });
}

void OperatorSession::WriteHead(const StoreResult& head) {
  model::HeadRecord record = HeadOf(head);
  // Another operator has written a document since the base was read; its
  // changes must be reviewed first.
  if (record.document.version != base_version_) return done_(0);
  record.nonce = nonce_;
  record.writer = "operator";
  record.document = {record.document.version + 1, manifest_hash_};
  const std::uint64_t version = record.document.version;
  CallStore({.operation = StoreOperation::kCompareAndSwap,
             .key = kHeadKey,
             .value = config::EncodeHeadRecord(record),
             .revision = head.revision},
            [this, version](const StoreResult& result) {
              if (result.outcome == StoreOutcome::kOk) return done_(version);
              if (result.outcome == StoreOutcome::kUnknown)
                return ReadBack(version);
              // Another operator or a change of members replaced the head:
              // read it again.
              queue_.After(kRetryDelay,
                           [self = shared_from_this()] { self->ReadHead(); });
            });
}

void OperatorSession::ReadBack(std::uint64_t version) {
  CallStore({.operation = StoreOperation::kRead, .key = kHeadKey},
            [this, version](const StoreResult& result) {
              const auto record = config::DecodeHeadRecord(result.value);
              if (result.outcome == StoreOutcome::kOk && record.value &&
                  record.value->document.version == version &&
                  record.value->document.hash == manifest_hash_) {
                return done_(version);
              }
              // The write may still take effect later, so the outcome is
              // unknown.
              done_(0);
            });
}

}  // namespace berylreach::testing
