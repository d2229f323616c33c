// Stand-in for the platform's metadata store.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "http.h"

namespace review {

/// Keeps items in memory and serves the store's interface: items, pages of
/// items, watches, transactions and leases. The test writes what the operator
/// and the leaves write.
class Store {
 public:
  /// Each answer takes `answer_time`, the time on the way included.
  Store(EventLoop& loop, const std::string& ip, milliseconds answer_time);

  const std::string& address() const { return server_.address(); }
  std::size_t item_count() const { return items_.size(); }

  /// Writes by the operator and the leaves.
  void Put(const std::string& key, const std::string& value,
           std::uint64_t lease = 0);
  void Delete(const std::string& key);

  /// While deaf, watches are not told of changes.
  void SetDeaf(bool deaf) { deaf_ = deaf; }
  /// Drops the history and cuts the watches that wait.
  void ForgetHistory();
  /// While silent, the store answers nothing. A connection that lost an answer
  /// returns nothing any more.
  void SetSilent(bool silent) { silent_ = silent; }
  /// Called when a page has been answered that has a next one.
  void SetOnTruncatedPage(std::function<void()> action) {
    on_truncated_page_ = std::move(action);
  }
  /// Called when a lease has been renewed.
  void SetOnRenewal(std::function<void()> action) {
    on_renewal_ = std::move(action);
  }

 private:
  using Connection = std::shared_ptr<HttpServer::Connection>;

  struct Item {
    std::string value;
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
    std::uint64_t lease = 0;
  };
  struct Event {
    std::uint64_t revision = 0;
    std::string key;
    /// The item as it was written; empty if it was deleted.
    std::optional<Item> item;
  };
  struct Watch {
    Connection connection;
    std::string prefix;
    std::uint64_t after = 0;
    Time until;
  };
  struct Lease {
    milliseconds ttl{0};
    Time expires;
  };

  void OnRequest(const Connection& connection, const HttpMessage& request);
  void Answer(const Connection& connection, int status,
              const std::string& body);
  void AnswerRange(const Connection& connection, const std::string& target);
  void StartWatch(const Connection& connection, const std::string& target);
  void AnswerTransaction(const Connection& connection, const std::string& body);
  void GrantLease(const Connection& connection, const std::string& body);
  void RenewLease(const Connection& connection, const std::string& id);
  void EndLease(std::uint64_t id);
  /// The answer to a watch; nullopt if nothing has changed.
  std::optional<std::string> ChangesAfter(const std::string& prefix,
                                          std::uint64_t after) const;
  void CheckWatches();
  void Tick();

  EventLoop& loop_;
  milliseconds answer_time_;
  std::map<std::string, Item> items_;
  std::deque<Event> history_;
  std::uint64_t revision_ = 1;
  /// Watches from an earlier revision get 410.
  std::uint64_t oldest_revision_ = 0;
  std::vector<Watch> watches_;
  std::map<std::uint64_t, Lease> leases_;
  std::uint64_t next_lease_ = 77000;
  bool deaf_ = false;
  bool silent_ = false;
  std::set<Connection> lost_answer_;
  std::function<void()> on_truncated_page_;
  std::function<void()> on_renewal_;
  HttpServer server_;
};

}  // namespace review
