// Selects and sorts the lines of the hosts' logs that explain the outcome of
// one request. Private to the package.
#pragma once

#include <boost/json.hpp>
#include <cstddef>
#include <set>
#include <string>
#include <vector>

namespace berylreach::berylctl {

namespace json = boost::json;

/// Collects lines of several logs in two passes. The clocks of hosts may differ
/// by seconds, so lines are not sorted by time: those of one host keep the
/// order in which it wrote them, and hosts are sorted from cause to effect:
/// first those that logged only context, then those that ran the request or
/// groups of its shards, then the entry host, which forwarded groups of shards
/// to other hosts and answered the caller.
class RequestLogCollector {
 public:
  explicit RequestLogCollector(std::string request)
      : request_(std::move(request)) {}

  /// First pass: records the hosts, leaves and configuration versions that the
  /// lines of the request refer to.
  void RecordReferences(const std::string& line);
  /// Second pass over the same lines in the same order: collects the lines of
  /// the request and the context lines. Of the context lines of one host with
  /// the same event and subject, only the last one is kept.
  void Collect(const std::string& line);

  /// Whether the first pass found a line with the outcome of the request.
  bool found() const { return !request_hosts_.empty(); }
  /// Number of lines that are not a JSON object.
  std::size_t unreadable_lines() const { return unreadable_lines_; }

  /// The collected lines, causes before effects.
  std::vector<json::object> Lines() const;

 private:
  struct CollectedLine {
    json::object line;
    /// Whether the line belongs to the request; other lines are context:
    /// changes of hosts, leaves or the configuration that may have affected it.
    bool of_request = false;
  };

  /// Whether the line names the request as its id or detail.
  bool BelongsToRequest(const json::object& line) const;
  /// Whether the line is about the state of a host, a leaf or a configuration
  /// version that lines of the request refer to.
  bool IsContext(const json::object& line) const;

  std::string request_;
  /// Leaves and hosts that lines of the request name.
  std::set<std::string> referenced_names_;
  /// Versions of the configuration under which hosts handled the request.
  std::set<std::string> configuration_versions_;
  /// Hosts that logged an outcome of the request.
  std::set<std::string> request_hosts_;
  /// Those of them that forwarded groups of shards to other hosts.
  std::set<std::string> entry_hosts_;
  /// Hosts whose outcome has been collected in the second pass.
  std::set<std::string> completed_hosts_;
  std::vector<CollectedLine> collected_lines_;
  std::size_t unreadable_lines_ = 0;
};

}  // namespace berylreach::berylctl
