#include "store.h"

#include <algorithm>
#include <boost/json.hpp>
#include <utility>

namespace review {
namespace {

namespace json = boost::json;

/// Limits of one page.
constexpr std::size_t kPageItems = 500;
constexpr std::size_t kPageBytes = 1'000'000;

constexpr milliseconds kTickInterval{20};

constexpr std::string_view kDigits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string ToBase64(const std::string& bytes) {
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t group = 0;
    for (std::size_t j = 0; j < 3; ++j)
      group = group << 8U |
              (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j])
                                    : 0U);
    for (int shift = 18; shift >= 0; shift -= 6)
      text += kDigits[group >> static_cast<unsigned>(shift) & 63U];
  }
  for (std::size_t i = 0; i < (3 - bytes.size() % 3) % 3; ++i)
    text[text.size() - 1 - i] = '=';
  return text;
}

std::string FromBase64(std::string_view text) {
  std::string bytes;
  std::uint32_t bits = 0;
  int count = 0;
  for (const char digit : text) {
    if (digit == '=') break;
    bits = bits << 6U | static_cast<std::uint32_t>(kDigits.find(digit));
    count += 6;
    if (count < 8) continue;
    count -= 8;
    bytes += static_cast<char>(bits >> static_cast<unsigned>(count) & 255U);
  }
  return bytes;
}

std::string Parameter(const std::string& target, const std::string& name) {
  for (const char* start : {"?", "&"}) {
    const std::size_t at = target.find(start + name + "=");
    if (at == std::string::npos) continue;
    const std::size_t begin = at + name.size() + 2;
    return target.substr(begin, target.find('&', begin) - begin);
  }
  return {};
}

std::string TextOf(const json::value& value) {
  return std::string(value.as_string());
}

}  // namespace

Store::Store(EventLoop& loop, const std::string& ip, milliseconds answer_time)
    : loop_(loop),
      answer_time_(answer_time),
      server_(loop, ip,
              [this](const Connection& connection, const HttpMessage& request) {
                OnRequest(connection, request);
              }) {
  Tick();
}

void Store::Put(const std::string& key, const std::string& value,
                std::uint64_t lease) {
  ++revision_;
  Item& item = items_[key];
  if (item.created == 0) item.created = revision_;
  item = {value, revision_, item.created, lease};
  history_.push_back({revision_, key, item});
}

void Store::Delete(const std::string& key) {
  if (items_.erase(key) == 0) return;
  history_.push_back({++revision_, key, std::nullopt});
}

void Store::ForgetHistory() {
  history_.clear();
  oldest_revision_ = revision_;
  for (const Watch& watch : std::exchange(watches_, {}))
    server_.Close(watch.connection);
}

void Store::OnRequest(const Connection& connection,
                      const HttpMessage& request) {
  if (silent_) {
    lost_answer_.insert(connection);
    return;
  }
  if (lost_answer_.contains(connection)) return;
  const std::string method = request.Word(0);
  const std::string target = request.Word(1);
  const std::string last_part = target.substr(target.rfind('/') + 1);
  if (target.starts_with("/kv-range")) {
    AnswerRange(connection, target);
  } else if (target.starts_with("/kv-watch")) {
    StartWatch(connection, target);
  } else if (target == "/kv-txn") {
    AnswerTransaction(connection, request.body);
  } else if (target == "/kv-lease") {
    GrantLease(connection, request.body);
  } else if (target.starts_with("/kv-keep/")) {
    RenewLease(connection, last_part);
  } else if (target.starts_with("/kv-lease-end/")) {
    EndLease(std::stoull(last_part));
    Answer(connection, 200, "{}");
  } else {
    Answer(connection, 404, "{}");
  }
}

void Store::Answer(const Connection& connection, int status,
                   const std::string& body) {
  loop_.After(answer_time_, [this, connection, status, body] {
    if (silent_) lost_answer_.insert(connection);
    if (lost_answer_.contains(connection)) return;
    server_.Send(
        connection,
        FormatResponse(status, "Content-Type: application/json\r\n", body));
  });
}

void Store::AnswerRange(const Connection& connection,
                        const std::string& target) {
  const std::string prefix = Parameter(target, "prefix");
  const std::string after = Parameter(target, "after");
  json::array items;
  std::size_t bytes = 0;
  bool truncated = false;
  for (auto it = items_.lower_bound(prefix); it != items_.end(); ++it) {
    const auto& [key, item] = *it;
    if (!key.starts_with(prefix)) break;
    if (key <= after) continue;
    if (items.size() == kPageItems || bytes > kPageBytes) {
      truncated = true;
      break;
    }
    const std::string value = ToBase64(item.value);
    bytes += value.size();
    items.push_back({{"key", key},
                     {"value", value},
                     {"revision", item.revision},
                     {"created", item.created},
                     {"lease", item.lease}});
  }
  Answer(connection, 200,
         json::serialize(json::object{{"items", items},
                                      {"truncated", truncated},
                                      {"current_rev", revision_}}));
  if (truncated && on_truncated_page_)
    loop_.After(answer_time_, on_truncated_page_);
}

void Store::StartWatch(const Connection& connection,
                       const std::string& target) {
  const std::uint64_t after = std::stoull(Parameter(target, "after"));
  if (after < oldest_revision_) {
    Answer(connection, 410, "{}");
    return;
  }
  const milliseconds wait(std::stoll(Parameter(target, "wait_ms")));
  watches_.push_back({connection, Parameter(target, "prefix"), after,
                      Clock::now() + std::min(wait, milliseconds(30000))});
}

std::optional<std::string> Store::ChangesAfter(const std::string& prefix,
                                               std::uint64_t after) const {
  json::array events;
  for (const Event& event : history_) {
    if (event.revision <= after || !event.key.starts_with(prefix)) continue;
    json::object row = {{"key", event.key}, {"revision", event.revision}};
    if (event.item) {
      row["value"] = ToBase64(event.item->value);
      row["created"] = event.item->created;
      row["lease"] = event.item->lease;
    } else {
      row["deleted"] = true;
    }
    events.push_back(std::move(row));
  }
  if (events.empty()) return std::nullopt;
  return json::serialize(
      json::object{{"events", events}, {"current_rev", revision_}});
}

void Store::CheckWatches() {
  const Time now = Clock::now();
  for (Watch& watch : std::exchange(watches_, {})) {
    if (!watch.connection->open) continue;
    const auto changes =
        deaf_ ? std::nullopt : ChangesAfter(watch.prefix, watch.after);
    if (changes) {
      Answer(watch.connection, 200, *changes);
    } else if (now >= watch.until) {
      const std::uint64_t seen = deaf_ ? watch.after : revision_;
      Answer(watch.connection, 200,
             json::serialize(json::object{{"events", json::array()},
                                          {"current_rev", seen}}));
    } else {
      watches_.push_back(std::move(watch));
    }
  }
}

void Store::AnswerTransaction(const Connection& connection,
                              const std::string& body) {
  const json::object call = json::parse(body).as_object();
  const auto rows = [&call](const char* name) {
    const auto* found = call.if_contains(name);
    return found == nullptr ? json::array() : found->as_array();
  };
  for (const auto& row : rows("expect_rev")) {
    const auto found = items_.find(TextOf(row.at("key")));
    const std::uint64_t revision =
        found == items_.end() ? 0 : found->second.revision;
    if (revision == row.at("revision").to_number<std::uint64_t>()) continue;
    Answer(connection, 412, R"({"items":[]})");
    return;
  }
  const auto lease_of = [](const json::value& write) {
    const auto* lease = write.as_object().if_contains("lease");
    return lease == nullptr ? 0 : lease->to_number<std::uint64_t>();
  };
  for (const auto& write : rows("writes")) {
    const std::string key = TextOf(write.at("key"));
    if (key.starts_with("op/") || key.starts_with("servers/")) {
      Answer(connection, 403, "{}");
      return;
    }
    const std::uint64_t lease = lease_of(write);
    if (lease == 0 || leases_.contains(lease)) continue;
    Answer(connection, 404, "{}");
    return;
  }
  for (const auto& write : rows("writes"))
    Put(TextOf(write.at("key")), FromBase64(TextOf(write.at("value"))),
        lease_of(write));
  for (const auto& key : rows("deletes")) Delete(TextOf(key));
  Answer(connection, 200,
         json::serialize(json::object{{"revision", revision_}}));
}

void Store::GrantLease(const Connection& connection, const std::string& body) {
  const milliseconds ttl(json::parse(body).at("ttl_ms").to_number<int>());
  const std::uint64_t id = ++next_lease_;
  leases_[id] = {ttl, Clock::now() + ttl};
  Answer(connection, 200,
         json::serialize(json::object{{"lease", id}, {"ttl_ms", ttl.count()}}));
}

void Store::RenewLease(const Connection& connection, const std::string& id) {
  const auto found = leases_.find(std::stoull(id));
  if (found == leases_.end()) {
    Answer(connection, 404, "{}");
    return;
  }
  found->second.expires = Clock::now() + found->second.ttl;
  if (on_renewal_) on_renewal_();
  Answer(connection, 200,
         json::serialize(json::object{{"ttl_ms", found->second.ttl.count()}}));
}

void Store::EndLease(std::uint64_t id) {
  leases_.erase(id);
  std::vector<std::string> keys;
  for (const auto& [key, item] : items_)
    if (item.lease == id) keys.push_back(key);
  for (const std::string& key : keys) Delete(key);
}

void Store::Tick() {
  loop_.After(kTickInterval, [this] { Tick(); });
  // Leases pause while the store is down.
  if (silent_) {
    for (auto& [id, lease] : leases_) lease.expires += kTickInterval;
    return;
  }
  std::vector<std::uint64_t> expired;
  for (const auto& [id, lease] : leases_)
    if (lease.expires <= Clock::now()) expired.push_back(id);
  for (const std::uint64_t id : expired) EndLease(id);
  CheckWatches();
}

}  // namespace review
