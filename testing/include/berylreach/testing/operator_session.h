// Submission of a document by an operator, as a sequence of store calls.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "berylreach/model/environment.h"
#include "berylreach/model/store_request.h"
#include "berylreach/model/store_result.h"
#include "berylreach/testing/event_queue.h"
#include "berylreach/testing/fake_store.h"

namespace berylreach::testing {

/// Submits one document with the same steps as berylctl: reads the base
/// version, writes the parts, reads the head, and replaces it by
/// compare-and-swap. If the response to this write is lost, reads the head back
/// to find out whether the write took effect.
class OperatorSession : public std::enable_shared_from_this<OperatorSession> {
 public:
  /// Called once with the version that was written, or with 0 after a conflict
  /// or failure.
  using Done = std::function<void(std::uint64_t)>;

  OperatorSession(EventQueue& queue, FakeStore& store, std::uint64_t nonce,
                  const model::Environment& environment, Done done);

  void Start();

 private:
  void ReadBase();
  void WriteNextPart();
  void ReadHead();
  void WriteHead(const model::StoreResult& head);
  void ReadBack(std::uint64_t version);
  void CallStore(model::StoreRequest request,
                 std::function<void(const model::StoreResult&)> next);

  EventQueue& queue_;
  FakeStore& store_;
  std::uint64_t nonce_;
  Done done_;
  /// Version of the document that this one is based on.
  std::uint64_t base_version_ = 0;
  std::string manifest_hash_;
  std::vector<model::StoreRequest> writes_;
  std::size_t next_write_ = 0;
};

}  // namespace berylreach::testing
