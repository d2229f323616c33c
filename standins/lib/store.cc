// HTTP stand-in for the platform's key-value store.
#include "berylreach/standins/store.h"

#include <algorithm>
#include <boost/json.hpp>
#include <chrono>
#include <cstdlib>
#include <optional>

#include "berylreach/standins/base64.h"

namespace berylreach::standins {
namespace {

namespace json = boost::json;

constexpr std::string_view kPrefix = "/v1/kv/";
/// X-Consul-Index of a key that does not exist. The index of every key must be
/// positive.
constexpr std::uint64_t kAbsentIndex = 1;

/// The key of a request: the path after the prefix, percent-decoded.
std::string KeyOf(const std::string& target) {
  const std::string path = target.substr(0, target.find('?'));
  std::string key;
  for (std::size_t i = kPrefix.size(); i < path.size(); ++i) {
    if (path[i] == '%' && i + 2 < path.size()) {
      key.push_back(
          static_cast<char>(std::stoi(path.substr(i + 1, 2), nullptr, 16)));
      i += 2;
    } else {
      key.push_back(path[i]);
    }
  }
  return key;
}

/// Parses a duration such as "10s" or "500ms".
std::chrono::milliseconds ParseWait(const std::string& text) {
  char* unit = nullptr;
  const double number = std::strtod(text.c_str(), &unit);
  const double factor = std::string_view(unit) == "ms" ? 1 : 1000;
  return std::chrono::milliseconds(static_cast<std::int64_t>(number * factor));
}

std::uint64_t ParseNumber(const std::string& text) {
  return std::strtoull(text.c_str(), nullptr, 10);
}

}  // namespace

void Store::Serve(const transport::HttpRequest& request) {
  if (down_) {
    ++refused_;
    server().Abort(request.token);
    return;
  }
  if (slow_ms_ == 0) {
    Handle(request);
    return;
  }
  server().RunAfter(std::chrono::milliseconds(slow_ms_),
                    [this, request] { Handle(request); });
}

void Store::Handle(const transport::HttpRequest& request) {
  if (!request.target.starts_with(kPrefix)) {
    Reply(request.token, 404, nullptr);
    return;
  }
  const std::string key = KeyOf(request.target);
  const std::string index = QueryParameter(request.target, "index");
  if (request.method == "PUT") {
    Write(request, key);
  } else if (index.empty()) {
    Read(request, key);
  } else {
    StartWatch(request, key, ParseNumber(index));
  }
}

void Store::Read(const transport::HttpRequest& request,
                 const std::string& key) {
  ++reads_;
  const Versions versions = entries_[key];
  ReplyEntry(request.token, key,
             stale_reads_ ? versions.previous : versions.current);
}

void Store::StartWatch(const transport::HttpRequest& request,
                       const std::string& key, std::uint64_t index) {
  ++watch_calls_;
  const Entry& current = entries_[key].current;
  if (std::max(current.revision, kAbsentIndex) != index) {
    ReplyEntry(request.token, key, current);
    return;
  }
  watches_.push_back({request.token, key, index});
  server().RunAfter(ParseWait(QueryParameter(request.target, "wait")),
                    [this, token = request.token] { EndWatch(token); });
}

void Store::EndWatch(transport::HttpToken token) {
  const auto found =
      std::find_if(watches_.begin(), watches_.end(),
                   [&](const Watch& watch) { return watch.token == token; });
  if (found == watches_.end()) return;
  ReplyEntry(token, found->key, entries_[found->key].current);
  watches_.erase(found);
}

void Store::OnClientDisconnected(transport::HttpToken token) {
  watches_.remove_if([&](const Watch& watch) { return watch.token == token; });
}

void Store::Write(const transport::HttpRequest& request,
                  const std::string& key) {
  ++writes_;
  Versions& versions = entries_[key];
  const std::string cas = QueryParameter(request.target, "cas");
  const bool applied =
      cas.empty() || ParseNumber(cas) == versions.current.revision;
  if (applied) {
    versions.previous = versions.current;
    versions.current = {request.body, ++revision_ + kAbsentIndex};
  } else {
    ++conflicts_;
  }
  if (lose_answers_ > 0) {
    --lose_answers_;
    server().Abort(request.token);
  } else {
    Reply(request.token, 200, applied);
  }
  if (!applied) return;
  const auto watches = watches_;
  for (const Watch& watch : watches)
    if (watch.key == key) EndWatch(watch.token);
}

void Store::ReplyEntry(transport::HttpToken token, const std::string& key,
                       const Entry& entry) {
  const std::uint64_t index = std::max(entry.revision, kAbsentIndex);
  const std::vector<transport::HttpField> fields = {
      {"X-Consul-Index", std::to_string(index)}};
  if (entry.revision == 0) {
    Reply(token, 404, nullptr, fields);
    return;
  }
  json::object item;
  item["Key"] = key;
  item["Value"] = EncodeBase64(entry.value);
  item["ModifyIndex"] = entry.revision;
  Reply(token, 200, json::array{std::move(item)}, fields);
}

void Store::Control(const transport::HttpRequest& /*request*/,
                    const json::object& fields) {
  Assign(fields, "down", down_);
  Assign(fields, "slow_ms", slow_ms_);
  Assign(fields, "lose_answers", lose_answers_);
  Assign(fields, "stale_reads", stale_reads_);
  if (!down_) return;
  for (const Watch& watch : watches_) server().Abort(watch.token);
  watches_.clear();
}

json::object Store::Counters(const transport::HttpRequest& /*request*/) {
  return {{"reads", reads_},
          {"watches", watch_calls_},
          {"writes", writes_},
          {"conflicts", conflicts_},
          {"refused_while_down", refused_},
          {"waiting_watches", watches_.size()},
          {"answers_still_to_lose", lose_answers_}};
}

}  // namespace berylreach::standins
