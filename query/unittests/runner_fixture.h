// Test fixture that drives one query runner event by event.
#pragma once

#include <gtest/gtest.h>

#include <optional>
#include <vector>

#include "berylreach/quarantine/fingerprint.h"
#include "berylreach/query/query_runner.h"
#include "fake_context.h"

namespace berylreach::query {

using model::LeafOutcome;
using std::chrono::milliseconds;

// Drives one query runner on a FakeContext and collects its actions by kind.
class RunnerFixture : public testing::Test {
 protected:
  explicit RunnerFixture(std::uint32_t shards = 3, std::uint32_t replicas = 2)
      : context_(clock_, shards, replicas) {
    for (std::uint32_t j = 0; j < replicas; ++j) context_.Hold(j, {7});
    request_.kind = model::RequestKind::kQuery;
    request_.service = {"desk"};
    request_.payload = "{}";
    request_.deadline = clock_.Now() + milliseconds(1000);
  }

  // Starts the runner. If `proven`, its fingerprint is made proven before;
  // otherwise, the trust level is not changed.
  void Start(bool proven = true) {
    const auto fingerprint = quarantine::FingerprintOf(request_);
    if (proven) context_.suspects.OnCompleted(fingerprint);
    runner_.emplace(clock_, context_, request_, policy_);
    runner_->Start(out_);
    CollectActions();
  }

  static model::LeafReply ReplyTo(const model::LeafCall& call,
                                  LeafOutcome outcome = LeafOutcome::kOk) {
    model::LeafReply reply;
    reply.id = call.id;
    reply.leaf = call.leaf;
    reply.outcome = outcome;
    reply.version = call.version;
    reply.shard = call.shard;
    reply.shard_count = call.shard_count;
    reply.result = std::to_string(call.version);
    return reply;
  }

  // Delivers a reply to the call sent_[sent].
  void Answer(std::size_t sent, LeafOutcome outcome = LeafOutcome::kOk) {
    Deliver(ReplyTo(sent_.at(sent).call, outcome));
  }

  void Deliver(const model::LeafReply& reply) {
    runner_->OnLeafReply(reply, out_);
    CollectActions();
  }

  void Wait(base::Duration time) {
    clock_.Advance(time);
    runner_->Tick(out_);
    CollectActions();
  }

  // Fills the latency window with enough samples of 10 ms to allow hedging.
  void FillLatencyWindow() {
    for (int i = 0; i < 100; ++i) context_.latency.Add(milliseconds(10));
  }

  const model::Answer& FinalAnswer() const {
    return std::get<model::Answer>(replies_.at(0));
  }
  const model::Refusal& FinalRefusal() const {
    return std::get<model::Refusal>(replies_.at(0));
  }

  base::ManualClock clock_;
  FakeContext context_;
  model::CallerRequest request_;
  HedgePolicy policy_;
  std::optional<QueryRunner> runner_;
  std::vector<SendCall> sent_;
  std::vector<CancelCall> cancelled_;
  // Cancellations that apply only while the call is queued.
  std::vector<CancelCall> cancelled_if_queued_;
  std::vector<model::CallerReply> replies_;

 private:
  void CollectActions() {
    for (Action& action : out_) {
      if (auto* send = std::get_if<SendCall>(&action)) sent_.push_back(*send);
      if (auto* c = std::get_if<CancelCall>(&action)) {
        (c->only_if_queued ? cancelled_if_queued_ : cancelled_).push_back(*c);
      }
      if (auto* f = std::get_if<Finish>(&action)) replies_.push_back(f->reply);
    }
    out_.clear();
  }

  std::vector<Action> out_;
};

}  // namespace berylreach::query
