// Requests that wait for tokens, and messages between hosts about them.
#include "berylreach/gateway/quota_gate.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "berylreach/gateway/quota_codec.h"

namespace berylreach::gateway {

QuotaGate::QuotaGate(boost::asio::io_context& io, const base::Clock& clock,
                     std::string host, forward::Location location,
                     const forward::QuotaBounds& bounds, NextId next_id,
                     Send send)
    : clock_(clock),
      host_(std::move(host)),
      next_id_(std::move(next_id)),
      send_(std::move(send)),
      owners_(clock, host_, std::move(location)),
      owner_(clock, owners_, bounds),
      client_(clock, owners_, bounds),
      timer_(io) {}

void QuotaGate::SetLimits(const std::vector<forward::LimitSpec>& limits) {
  if (limits.empty() && !has_limits_) return;
  has_limits_ = !limits.empty();
  owner_.SetLimits(limits);
  forward::QuotaClient::Actions actions;
  client_.SetLimits(limits, actions);
  Execute(actions);
}

void QuotaGate::SetHosts(const std::vector<forward::HostEntry>& hosts) {
  owners_.SetHosts(hosts);
  client_.OnHostsChanged();
}

std::uint64_t QuotaGate::Request(const std::string& limit,
                                 OnDecision on_decision) {
  const std::uint64_t request = next_request_++;
  waiting_.emplace(request, std::move(on_decision));
  forward::QuotaClient::Actions actions;
  client_.OnRequest(request, limit, actions);
  Execute(actions);
  if (IsWaiting(request)) ++counters_.waited;
  return request;
}

void QuotaGate::Cancel(std::uint64_t request) {
  waiting_.erase(request);
  client_.OnCancelled(request);
}

void QuotaGate::RefuseAll() {
  forward::QuotaClient::Actions actions;
  client_.RefuseAll(actions);
  Execute(actions);
}

std::optional<std::string> QuotaGate::OnMessage(std::string_view body) {
  const auto claims = ParseQuotaClaims(body);
  if (!claims) return std::nullopt;
  forward::QuotaOwner::Actions actions;
  std::vector<forward::Grant> grants;
  for (const forward::Claim& claim : claims->claims)
    grants.push_back(owner_.OnClaim(claims->from, claim, actions));
  for (forward::SendClaim& action : actions)
    Queue(action.host, std::move(action.claim));
  Flush();
  return FormatQuotaGrants(grants);
}

bool QuotaGate::OnMessageDone(std::uint64_t message,
                              const std::optional<std::string>& body) {
  const auto found = messages_.find(message);
  if (found == messages_.end()) return false;
  const Message done = std::move(found->second);
  messages_.erase(found);
  const auto grants = body ? ParseQuotaGrants(*body) : std::nullopt;
  const bool answered = grants && grants->size() == done.claims.size();
  ++(answered ? counters_.claims_answered : counters_.claims_lost);
  Deliver(done, answered ? &*grants : nullptr);
  Flush();
  ArmTimer();
  return true;
}

void QuotaGate::Tick() {
  if (!has_limits_) return;
  forward::QuotaOwner::Actions claims;
  owner_.Tick(claims);
  for (forward::SendClaim& claim : claims)
    Queue(claim.host, std::move(claim.claim));
  forward::QuotaClient::Actions actions;
  client_.Tick(actions);
  Execute(actions);
}

void QuotaGate::Execute(const forward::QuotaClient::Actions& actions) {
  for (const forward::QuotaAction& action : actions) {
    if (const auto* claim = std::get_if<forward::SendClaim>(&action)) {
      Queue(claim->host, claim->claim);
    } else if (const auto* admit =
                   std::get_if<forward::AdmitRequest>(&action)) {
      Decide(admit->request, {.admitted = true});
    } else {
      const auto& refuse = std::get<forward::RefuseRequest>(action);
      Decide(refuse.request, {.over_limit = refuse.over_limit,
                              .retry_after = refuse.retry_after});
    }
  }
  Flush();
  ArmTimer();
}

void QuotaGate::Decide(std::uint64_t request, const QuotaDecision& decision) {
  auto waiting = waiting_.extract(request);
  if (waiting) waiting.mapped()(decision);
}

void QuotaGate::Queue(const std::string& host, forward::Claim claim) {
  queued_[host].push_back(std::move(claim));
}

void QuotaGate::Flush() {
  // Answers lead to further claims, which the outermost call sends.
  if (std::exchange(flushing_, true)) return;
  while (!queued_.empty()) {
    AnswerOwnClaims();
    auto queued = std::exchange(queued_, {});
    for (auto& [host, claims] : queued) SendMessage(host, std::move(claims));
  }
  flushing_ = false;
}

void QuotaGate::AnswerOwnClaims() {
  const auto own = queued_.find(host_);
  if (own == queued_.end()) return;
  const Message message{host_, std::move(own->second)};
  queued_.erase(own);
  std::vector<forward::Grant> grants;
  forward::QuotaOwner::Actions actions;
  for (const forward::Claim& claim : message.claims)
    grants.push_back(owner_.OnClaim(host_, claim, actions));
  for (forward::SendClaim& action : actions)
    Queue(action.host, std::move(action.claim));
  Deliver(message, &grants);
}

void QuotaGate::SendMessage(const std::string& host,
                            std::vector<forward::Claim> claims) {
  if (host == host_) {
    for (forward::Claim& claim : claims) Queue(host, std::move(claim));
    return;
  }
  while (!claims.empty()) {
    const auto count = static_cast<std::ptrdiff_t>(
        std::min(claims.size(), kMaxClaimsPerMessage));
    Message message{host, {claims.begin(), claims.begin() + count}};
    claims.erase(claims.begin(), claims.begin() + count);
    const std::string body = FormatQuotaClaims({host_, message.claims});
    const base::TimePoint deadline = clock_.Now() + kMessageTimeout;
    ++counters_.claims_sent;
    const std::uint64_t id = next_id_();
    messages_.emplace(id, std::move(message));
    if (body.size() > kMaxQuotaMessageBytes || !send_(id, host, body, deadline))
      OnMessageDone(id, std::nullopt);
  }
}

void QuotaGate::Deliver(const Message& message,
                        const std::vector<forward::Grant>* grants) {
  for (std::size_t i = 0; i < message.claims.size(); ++i) {
    const forward::Claim& claim = message.claims[i];
    if (grants != nullptr && (*grants)[i].limit == claim.limit) {
      DeliverGrant(message, claim, (*grants)[i]);
    } else if (claim.kind == forward::ClaimKind::kForRequests) {
      forward::QuotaClient::Actions actions;
      client_.OnClaimLost(message.host, claim, claim.sent, actions);
      Execute(actions);
    }
  }
}

void QuotaGate::DeliverGrant(const Message& message,
                             const forward::Claim& claim,
                             const forward::Grant& grant) {
  if (claim.kind != forward::ClaimKind::kForRequests) {
    forward::QuotaOwner::Actions claims;
    owner_.OnGrant(message.host, claim, claim.sent, grant, claims);
    for (forward::SendClaim& next : claims)
      Queue(next.host, std::move(next.claim));
    return;
  }
  forward::QuotaClient::Actions actions;
  client_.OnGrant(message.host, claim, claim.sent, grant, actions);
  Execute(actions);
}

void QuotaGate::ArmTimer() {
  const auto next = client_.NextWakeup();
  if (!next) return;
  const base::TimePoint now = clock_.Now();
  if (timer_at_ > now && timer_at_ <= *next) return;
  timer_at_ = std::max(*next, now + std::chrono::milliseconds(1));
  timer_.expires_after(timer_at_ - now);
  timer_.async_wait([this](boost::system::error_code error) {
    if (error) return;
    timer_at_ = {};
    Tick();
  });
}

void QuotaGate::AppendMetrics(std::string& text) const {
  if (!has_limits_ && counters_.claims_sent == 0) return;
  const auto add = [&text](std::string_view name, std::uint64_t value) {
    text.append("berylreach_quota_").append(name).append(" ");
    text.append(std::to_string(value)).append("\n");
  };
  add("claims_sent_total", counters_.claims_sent);
  add("claims_answered_total", counters_.claims_answered);
  add("claims_lost_total", counters_.claims_lost);
  add("claims_received_total", owner_.counters().claims);
  add("claims_granted_total", owner_.counters().granted);
  add("claims_empty_total", owner_.counters().empty);
  add("claims_not_owner_total", owner_.counters().not_owner);
  add("requests_waited_total", counters_.waited);
  add("shares_owned", owner_.size());
}

}  // namespace berylreach::gateway
