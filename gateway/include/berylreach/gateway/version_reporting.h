// This host's part in the version shifts of services: observes the calls to
// leaves and exchanges reports with the other hosts.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "berylreach/forward/leaf_record.h"
#include "berylreach/forward/version_shifts.h"
#include "berylreach/gateway/leaf_connections.h"

namespace berylreach::gateway {

/// Messages about version shifts and calls to the store for them since the
/// start of the process.
struct VersionShiftCounters {
  std::uint64_t reports_sent = 0;
  /// Sent, and not accepted by the other host or not answered.
  std::uint64_t reports_not_accepted = 0;
  std::uint64_t reports_received = 0;
  std::uint64_t reports_malformed = 0;
  std::uint64_t reads = 0;
  std::uint64_t failed_reads = 0;
  std::uint64_t writes = 0;
  /// Refused by the store, since the order or the status had changed.
  std::uint64_t refused_writes = 0;
  /// Not answered, or answered by an error.
  std::uint64_t lost_writes = 0;
};

/// Sends the reports of forward::VersionShifts to the first hosts by rank that
/// accept them, and passes reports of other hosts to the arbiter of this host.
/// Without orders and statuses it does nothing. Must be called only from the
/// event loop's thread.
class VersionReporting {
 public:
  using Arbiter = std::function<forward::VersionReportAnswer(
      const forward::VersionShiftReport&)>;
  /// Sends the body of a report to another host under the number of a call and
  /// returns that number; returns nothing if the host is unknown.
  using Send = std::function<std::optional<forward::CallId>(
      const std::string& host, const std::string& body)>;

  VersionReporting(const base::Clock& clock, std::string self,
                   const forward::ExposureLimits& limits, Send send);

  forward::VersionShifts& shifts() { return shifts_; }
  const forward::VersionShifts& shifts() const { return shifts_; }
  /// The registered hosts, including this one.
  const std::vector<std::string>& hosts() const { return hosts_; }
  void SetHosts(std::vector<std::string> hosts);
  /// Sets the function that judges reports on this host. Without it, this host
  /// accepts none.
  void SetArbiter(Arbiter arbiter) { arbiter_ = std::move(arbiter); }

  VersionShiftCounters& counters() { return counters_; }

  /// Records the end of a call that was sent to a leaf.
  void OnCallEnded(const forward::LeafRecord& leaf,
                   const forward::EndedCall& call) {
    shifts_.OnEnded(leaf, call);
  }
  /// Sends the reports that are due, and logs changes of the shifts' states.
  void Tick();
  /// Handles the result of a call that `Send` has started; false if the call is
  /// none of these.
  bool OnCallDone(forward::CallId call, const LeafConnections::Result& result);
  /// Handles the report of another host. Returns the body of the answer;
  /// nothing if the report is malformed, which changes nothing.
  std::optional<std::string> OnReport(std::string_view body);

  /// Appends the metrics of the shifts, if there are any, in the Prometheus
  /// text exposition format.
  void AppendTo(std::string& text) const;

 private:
  /// One report on its way to the first hosts by rank that accept it.
  struct Delivery {
    forward::VersionShiftReport report;
    std::string body;
    /// Rank of the next host to ask, and the number of hosts that are still
    /// needed.
    std::size_t next_rank = 0;
    std::size_t needed = 0;
  };

  void Deliver(const std::shared_ptr<Delivery>& delivery);
  /// Passes the delivery's report to one host; false if it cannot get it.
  bool PassTo(const std::string& host,
              const std::shared_ptr<Delivery>& delivery);
  forward::VersionReportAnswer Judge(const forward::VersionShiftReport& report);
  const std::vector<std::string>& ArbitersOf(const std::string& service);
  void LogChanges();

  const base::Clock& clock_;
  const std::string self_;
  forward::VersionShifts shifts_;
  Send send_;
  Arbiter arbiter_;
  std::vector<std::string> hosts_;
  /// The first hosts by rank, by service.
  std::map<std::string, std::vector<std::string>> arbiters_;
  /// Hosts that have not answered a report are not asked until then.
  std::map<std::string, base::TimePoint> avoid_until_;
  /// Deliveries that wait for the answer of a host, by call.
  struct PendingCall {
    std::string host;
    std::shared_ptr<Delivery> delivery;
  };
  std::unordered_map<forward::CallId, PendingCall> pending_;
  /// What was logged last, by service.
  struct LoggedState {
    std::optional<forward::VersionShiftStatus> status;
    bool stopped_here = false;
  };
  std::map<std::string, LoggedState> logged_;
  VersionShiftCounters counters_;
};

}  // namespace berylreach::gateway
