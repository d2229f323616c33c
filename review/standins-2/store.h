// The platform's metadata store: items, watches, transactions and leases.
#pragma once

#include <boost/json.hpp>
#include <condition_variable>
#include <deque>
#include <functional>
#include <memory>

#include "http.h"

namespace standin {

namespace json = boost::json;

inline std::string EncodeBase64(std::string_view text) {
  constexpr char digits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string encoded;
  for (std::size_t i = 0; i < text.size(); i += 3) {
    std::uint32_t bits = 0;
    for (std::size_t j = 0; j < 3; ++j)
      bits =
          bits << 8U |
          (i + j < text.size() ? static_cast<unsigned char>(text[i + j]) : 0U);
    for (std::size_t j = 0; j < 4; ++j)
      encoded += i + j > text.size() ? '=' : digits[bits >> (18 - 6 * j) & 63U];
  }
  return encoded;
}

inline std::string DecodeBase64(std::string_view text) {
  std::string decoded;
  std::uint32_t bits = 0;
  int count = 0;
  for (const char c : text) {
    std::uint32_t digit = 0;
    if (c >= 'A' && c <= 'Z') {
      digit = static_cast<std::uint32_t>(c - 'A');
    } else if (c >= 'a' && c <= 'z') {
      digit = static_cast<std::uint32_t>(c - 'a' + 26);
    } else if (c >= '0' && c <= '9') {
      digit = static_cast<std::uint32_t>(c - '0' + 52);
    } else if (c == '+') {
      digit = 62;
    } else if (c == '/') {
      digit = 63;
    } else {
      continue;
    }
    bits = bits << 6U | digit;
    count += 6;
    if (count < 8) continue;
    count -= 8;
    decoded += static_cast<char>(bits >> static_cast<unsigned>(count) & 255U);
  }
  return decoded;
}

/// What becomes of one transaction.
struct WriteFate {
  /// Whether the caller gets an answer.
  bool answered = true;
  /// Delay of the execution of a write that is not answered.
  milliseconds delay{0};
};

class Store {
 public:
  using Fate = std::function<WriteFate(const std::string& key)>;
  using Observer = std::function<void(const std::string& what)>;

  /// `fate` decides on each transaction by the first key that it writes.
  /// `observe` is told of changes of keys outside op/ and servers/.
  Store(const std::string& ip, Fate fate, Observer observe)
      : fate_(std::move(fate)), observe_(std::move(observe)), ip_(ip) {
    std::thread([this] { ExpireLeases(); }).detach();
  }

  /// Returns an address of the store for one host, by which Refuse names it.
  const std::string& AddressFor(const std::string& host) {
    const std::lock_guard lock(mutex_);
    std::unique_ptr<Server>& server = servers_[host];
    if (server == nullptr)
      server = std::make_unique<Server>(
          ip_ + ":0", [this, host](const Message& request, int socket) {
            return OnRequest(host, request, socket);
          });
    return server->address();
  }

  /// The host that has sent a watch last.
  std::string LastReader() {
    const std::lock_guard lock(mutex_);
    return last_reader_;
  }

  /// Turns a host away with 503, or serves it again.
  void Refuse(const std::string& host, bool refuse) {
    const std::lock_guard lock(mutex_);
    if (refuse) {
      refused_.insert(host);
    } else {
      refused_.erase(host);
    }
    changed_.notify_all();
  }

  /// While the store is down, calls get no answer, and none is executed.
  void SetDown(bool down) {
    const std::lock_guard lock(mutex_);
    down_ = down;
    changed_.notify_all();
  }
  /// Ends all leases.
  void EndLeases() {
    const std::lock_guard lock(mutex_);
    while (!leases_.empty()) EndLease(leases_.begin()->first);
  }

  /// A write of the operator or of a leaf.
  void Put(const std::string& key, const std::string& value) {
    const std::lock_guard lock(mutex_);
    Write(key, value, 0);
  }
  void Delete(const std::string& key) {
    const std::lock_guard lock(mutex_);
    Erase(key);
  }

 private:
  struct Item {
    std::string value;
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
    std::uint64_t lease = 0;
  };
  struct Lease {
    milliseconds ttl{0};
    Clock::time_point ends;
  };

  static std::string Parameter(const std::string& target,
                               const std::string& name) {
    const std::size_t query = target.find('?');
    if (query == std::string::npos) return "";
    const std::string text = "&" + target.substr(query + 1);
    const std::size_t at = text.find("&" + name + "=");
    if (at == std::string::npos) return "";
    const std::size_t from = at + name.size() + 2;
    return text.substr(from, text.find('&', from) - from);
  }

  static std::string Answer(int status, const json::value& body) {
    return Response(status, "Content-Type: application/json\r\n",
                    json::serialize(body));
  }

  json::object RowOf(const std::string& key, const Item& item) const {
    return {{"key", key},
            {"value", EncodeBase64(item.value)},
            {"revision", item.revision},
            {"created", item.created},
            {"lease", item.lease}};
  }

  std::string OnRequest(const std::string& host, const Message& request,
                        int socket) {
    std::this_thread::sleep_for(kAnswerTime);
    const std::string target = request.Target();
    const std::string path = target.substr(0, target.find('?'));
    if (path == "/kv-watch") return Watch(host, target, socket);
    std::unique_lock lock(mutex_);
    if (down_) return "";
    if (refused_.contains(host)) return Answer(503, json::object());
    if (path == "/kv-key") return ReadKey(Parameter(target, "key"));
    if (path == "/kv-range")
      return Range(Parameter(target, "prefix"), Parameter(target, "after"));
    if (path == "/kv-lease") return Grant(request.body);
    if (path.starts_with("/kv-keep/")) return Keep(std::stoull(path.substr(9)));
    if (path.starts_with("/kv-lease-end/")) {
      EndLease(std::stoull(path.substr(14)));
      return Answer(200, json::object());
    }
    if (path == "/kv-txn") return Transaction(json::parse(request.body));
    return Answer(404, json::object());
  }

  std::string ReadKey(const std::string& key) {
    const auto found = items_.find(key);
    if (found == items_.end()) return Answer(404, {{"current_rev", revision_}});
    json::object row = RowOf(key, found->second);
    row["current_rev"] = revision_;
    return Answer(200, row);
  }

  std::string Range(const std::string& prefix, const std::string& after) {
    constexpr std::size_t page = 500;
    json::array rows;
    bool truncated = false;
    for (const auto& [key, item] : items_) {
      if (!key.starts_with(prefix) || key <= after) continue;
      if (rows.size() == page) {
        truncated = true;
        break;
      }
      rows.push_back(RowOf(key, item));
    }
    return Answer(200, {{"items", rows},
                        {"truncated", truncated},
                        {"current_rev", revision_}});
  }

  std::string Watch(const std::string& host, const std::string& target,
                    int socket) {
    const std::string prefix = Parameter(target, "prefix");
    const std::uint64_t after = std::stoull(Parameter(target, "after"));
    const auto until =
        Clock::now() + milliseconds(std::stoll(Parameter(target, "wait_ms")));
    std::unique_lock lock(mutex_);
    last_reader_ = host;
    while (true) {
      if (down_) return "";
      if (refused_.contains(host)) return Answer(503, json::object());
      json::array events;
      for (const auto& [revision, key, row] : history_)
        if (revision > after && key.starts_with(prefix)) events.push_back(row);
      if (!events.empty() || Clock::now() >= until)
        return Answer(200, {{"events", events}, {"current_rev", revision_}});
      changed_.wait_until(lock,
                          std::min(until, Clock::now() + milliseconds(200)));
      if (PeerHasClosed(socket)) return "";
    }
  }

  std::string Grant(const std::string& body) {
    const milliseconds ttl(std::max<std::int64_t>(
        1000, json::parse(body).at("ttl_ms").to_number<std::int64_t>()));
    leases_[++last_lease_] = {ttl, Clock::now() + ttl};
    return Answer(200, {{"lease", last_lease_}, {"ttl_ms", ttl.count()}});
  }

  std::string Keep(std::uint64_t id) {
    const auto found = leases_.find(id);
    if (found == leases_.end()) return Answer(404, json::object());
    found->second.ends = Clock::now() + found->second.ttl;
    return Answer(200, {{"ttl_ms", found->second.ttl.count()}});
  }

  std::string Transaction(const json::value& body) {
    const json::array& writes = body.at("writes").as_array();
    const std::string key =
        writes.empty() ? "" : std::string(writes[0].at("key").as_string());
    const WriteFate fate = fate_(key);
    if (fate.answered) return Execute(body);
    std::thread([this, body, delay = fate.delay] {
      std::this_thread::sleep_for(delay);
      const std::lock_guard lock(mutex_);
      Execute(body);
    }).detach();
    return "";
  }

  std::string Execute(const json::value& body) {
    json::array present;
    bool holds = true;
    for (const json::value& row : body.at("expect_rev").as_array()) {
      const std::string key(row.at("key").as_string());
      const auto found = items_.find(key);
      const std::uint64_t revision =
          found == items_.end() ? 0 : found->second.revision;
      if (revision != row.at("revision").to_number<std::uint64_t>())
        holds = false;
      if (found != items_.end()) present.push_back(RowOf(key, found->second));
    }
    if (!holds) return Answer(412, {{"items", present}});
    for (const json::value& write : body.at("writes").as_array()) {
      const auto lease = write.at("lease").to_number<std::uint64_t>();
      if (lease != 0 && !leases_.contains(lease))
        return Answer(404, json::object());
    }
    for (const json::value& write : body.at("writes").as_array())
      Write(std::string(write.at("key").as_string()),
            DecodeBase64(std::string(write.at("value").as_string())),
            write.at("lease").to_number<std::uint64_t>());
    for (const json::value& key : body.at("deletes").as_array())
      Erase(std::string(key.as_string()));
    return Answer(200, {{"revision", revision_}});
  }

  void Write(const std::string& key, const std::string& value,
             std::uint64_t lease) {
    Item& item = items_[key];
    item.value = value;
    item.revision = ++revision_;
    if (item.created == 0) item.created = revision_;
    item.lease = lease;
    history_.emplace_back(revision_, key, RowOf(key, item));
    changed_.notify_all();
    if (!key.starts_with("op/") && !key.starts_with("servers/"))
      observe_("store: " + key + " written under lease " +
               std::to_string(lease));
  }

  void Erase(const std::string& key) {
    if (items_.erase(key) == 0) return;
    ++revision_;
    history_.emplace_back(
        revision_, key,
        json::object{{"key", key}, {"revision", revision_}, {"deleted", true}});
    changed_.notify_all();
    if (!key.starts_with("op/") && !key.starts_with("servers/"))
      observe_("store: " + key + " removed");
  }

  void EndLease(std::uint64_t id) {
    if (leases_.erase(id) == 0) return;
    std::vector<std::string> keys;
    for (const auto& [key, item] : items_)
      if (item.lease == id) keys.push_back(key);
    for (const std::string& key : keys) Erase(key);
  }

  void ExpireLeases() {
    while (true) {
      std::this_thread::sleep_for(milliseconds(20));
      const std::lock_guard lock(mutex_);
      std::vector<std::uint64_t> ended;
      for (const auto& [id, lease] : leases_)
        if (Clock::now() >= lease.ends) ended.push_back(id);
      for (const std::uint64_t id : ended) {
        observe_("store: lease " + std::to_string(id) + " has ended");
        EndLease(id);
      }
    }
  }

  /// Time that an answer takes, as in the site files.
  static constexpr milliseconds kAnswerTime{4};

  Fate fate_;
  Observer observe_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Item> items_;
  std::deque<std::tuple<std::uint64_t, std::string, json::value>> history_;
  std::map<std::uint64_t, Lease> leases_;
  std::uint64_t last_lease_ = 100;
  std::uint64_t revision_ = 100;
  std::string ip_;
  std::map<std::string, std::unique_ptr<Server>> servers_;
  std::set<std::string> refused_;
  bool down_ = false;
  std::string last_reader_;
};

}  // namespace standin
