// Holds requests back until the limits that all hosts keep together admit them.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "berylreach/base/clock.h"
#include "berylreach/forward/limit_owners.h"
#include "berylreach/forward/quota_client.h"
#include "berylreach/forward/quota_owner.h"

namespace berylreach::gateway {

/// What was decided on a request.
struct QuotaDecision {
  bool admitted = false;
  /// Whether a request was refused because the limit is exhausted; otherwise no
  /// owner of the limit could be asked.
  bool over_limit = true;
  std::chrono::milliseconds retry_after{0};
};

/// Counts since the start of the process.
struct QuotaCounters {
  std::uint64_t claims_sent = 0;
  std::uint64_t claims_answered = 0;
  std::uint64_t claims_lost = 0;
  std::uint64_t waited = 0;
};

/// Executes the actions of this host's QuotaClient and QuotaOwner: sends their
/// claims to other hosts, all claims for one host in one message, and answers
/// the claims of other hosts. Without limits it sends nothing. All calls must
/// come from the event loop's thread.
class QuotaGate {
 public:
  using OnDecision = std::function<void(const QuotaDecision&)>;
  /// Returns the id of a new message.
  using NextId = std::function<std::uint64_t()>;
  /// Sends a message to a host; its result is passed to OnMessageDone, which
  /// may happen at once. Returns false if the host is not known.
  using Send =
      std::function<bool(std::uint64_t id, const std::string& host,
                         const std::string& body, base::TimePoint deadline)>;

  /// Time within which a message must be answered.
  static constexpr std::chrono::milliseconds kMessageTimeout =
      forward::LimitPlan::kMaxTransit;

  QuotaGate(boost::asio::io_context& io, const base::Clock& clock,
            std::string host, forward::Location location,
            const forward::QuotaBounds& bounds, NextId next_id, Send send);

  void SetLimits(const std::vector<forward::LimitSpec>& limits);
  void SetHosts(const std::vector<forward::HostEntry>& hosts);
  void OnLeaseRenewed(const forward::LeaseRenewed& event) {
    owner_.OnLeaseRenewed(event);
  }
  void OnRegistrationLost() { owner_.OnRegistrationLost(); }
  void OnProcessPaused() { owner_.OnProcessPaused(); }
  void OnViewCurrent() { owner_.OnViewCurrent(); }
  /// Begins a planned stop: this host grants nothing more. Requests are still
  /// decided on.
  void Stop() { owner_.Stop(); }

  bool HasLimit(const std::string& limit) const {
    return client_.HasLimit(limit);
  }
  /// Decides on a request, at once or within QuotaClient::kMaxWait. Returns an
  /// id by which a request that waits can be cancelled.
  std::uint64_t Request(const std::string& limit, OnDecision on_decision);
  bool IsWaiting(std::uint64_t request) const {
    return waiting_.contains(request);
  }
  /// Forgets a request whose caller has left.
  void Cancel(std::uint64_t request);
  /// Refuses the requests that wait.
  void RefuseAll();

  /// Answers the message of another host; nullopt if it is malformed.
  std::optional<std::string> OnMessage(std::string_view body);
  /// Handles the result of a message; `body` is empty if there is no response.
  /// Returns false if the message is not one of this gate.
  bool OnMessageDone(std::uint64_t message,
                     const std::optional<std::string>& body);
  /// To be called several times a second.
  void Tick();

  void AppendMetrics(std::string& text) const;
  const QuotaCounters& counters() const { return counters_; }

 private:
  struct Message {
    std::string host;
    std::vector<forward::Claim> claims;
  };

  /// Executes actions, and sends the claims that they lead to.
  void Execute(const forward::QuotaClient::Actions& actions);
  void Queue(const std::string& host, forward::Claim claim);
  /// Answers queued claims for this host itself, and sends the others.
  void Flush();
  void AnswerOwnClaims();
  void SendMessage(const std::string& host, std::vector<forward::Claim> claims);
  void Deliver(const Message& message,
               const std::vector<forward::Grant>* grants);
  void DeliverGrant(const Message& message, const forward::Claim& claim,
                    const forward::Grant& grant);
  void Decide(std::uint64_t request, const QuotaDecision& decision);
  void ArmTimer();

  const base::Clock& clock_;
  const std::string host_;
  const NextId next_id_;
  const Send send_;
  forward::LimitOwners owners_;
  forward::QuotaOwner owner_;
  forward::QuotaClient client_;
  boost::asio::steady_timer timer_;
  /// When timer_ expires; a time in the past if it is not armed.
  base::TimePoint timer_at_{};
  std::unordered_map<std::uint64_t, OnDecision> waiting_;
  std::uint64_t next_request_ = 1;
  /// Claims that have not been sent yet, by host.
  std::map<std::string, std::vector<forward::Claim>> queued_;
  std::unordered_map<std::uint64_t, Message> messages_;
  bool flushing_ = false;
  bool has_limits_ = false;
  QuotaCounters counters_;
};

}  // namespace berylreach::gateway
