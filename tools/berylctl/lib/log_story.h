// The lines of the hosts' logs that explain one request. Private to the
// package.
#pragma once

#include <boost/json.hpp>
#include <cstddef>
#include <set>
#include <string>
#include <vector>

namespace berylreach::berylctl {

namespace json = boost::json;

/// Collects lines of several logs. Clocks of hosts may differ by seconds, so
/// that lines of one host keep the order in which it wrote them, and hosts
/// follow each other by cause: those that ran parts of the request, then the
/// one that answered the caller.
class LogStory {
 public:
  explicit LogStory(std::string request) : request_(std::move(request)) {}

  /// First pass: the lines that name the request, and what they refer to.
  void Look(const std::string& line);
  /// Second pass over the same lines in the same order: the request's own and
  /// the last ones of each host on what they refer to.
  void Collect(const std::string& line);

  /// Whether a line on the outcome of the request was found.
  bool found() const { return !request_hosts_.empty(); }
  std::size_t unreadable() const { return unreadable_; }

  /// The lines in order.
  std::vector<json::object> Lines() const;

 private:
  struct Entry {
    json::object line;
    /// Of the request itself; others are the state that it met.
    bool own = false;
  };

  bool IsOwn(const json::object& line) const;
  bool IsContext(const json::object& line) const;

  std::string request_;
  /// Leaves and hosts that lines of the request name.
  std::set<std::string> names_;
  /// Versions of the configuration that decided.
  std::set<std::string> versions_;
  /// Hosts that logged an outcome, those that asked others last.
  std::set<std::string> request_hosts_;
  std::set<std::string> entry_hosts_;
  /// Hosts whose outcome was collected.
  std::set<std::string> answered_hosts_;
  std::vector<Entry> entries_;
  std::size_t unreadable_ = 0;
};

}  // namespace berylreach::berylctl
