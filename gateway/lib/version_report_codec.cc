// Encodes a report as a JSON object with an array of rows.
#include "berylreach/gateway/version_report_codec.h"

#include <boost/json.hpp>
#include <chrono>
#include <cstdint>
#include <utility>

namespace berylreach::gateway {
namespace {

using std::chrono::milliseconds;

/// Longest duration that a message may state.
constexpr std::uint64_t kMaxDurationMs = 1'000'000'000'000;

/// Reads members of one object. Once a member is missing or has another type,
/// `ok` returns false.
class MemberReader {
 public:
  explicit MemberReader(const boost::json::object& object) : object_(object) {}

  bool ok() const { return ok_; }

  std::string String(std::string_view name) {
    const boost::json::value* member = Find(name);
    if (member != nullptr && member->is_string())
      return std::string(member->get_string());
    ok_ = false;
    return {};
  }

  std::uint64_t Count(std::string_view name) {
    const boost::json::value* member = Find(name);
    boost::json::error_code error;
    if (member != nullptr && member->is_number()) {
      const auto value = member->to_number<std::uint64_t>(error);
      if (!error) return value;
    }
    ok_ = false;
    return 0;
  }

  bool Bool(std::string_view name) {
    const boost::json::value* member = Find(name);
    if (member != nullptr && member->is_bool()) return member->get_bool();
    ok_ = false;
    return false;
  }

  milliseconds Duration(std::string_view name) {
    const std::uint64_t value = Count(name);
    if (value > kMaxDurationMs) ok_ = false;
    return milliseconds(ok_ ? value : 0);
  }

  const boost::json::array& Array(std::string_view name) {
    static const boost::json::array empty;
    const boost::json::value* member = Find(name);
    if (member != nullptr && member->is_array()) return member->get_array();
    ok_ = false;
    return empty;
  }

  /// Returns the one of `values` whose name the member holds.
  template <typename Enum, std::size_t kSize>
  Enum Named(std::string_view name, const Enum (&values)[kSize],
             const char* (*name_of)(Enum)) {
    const std::string text = String(name);
    for (const Enum value : values)
      if (text == name_of(value)) return value;
    ok_ = false;
    return values[0];
  }

 private:
  const boost::json::value* Find(std::string_view name) const {
    return object_.if_contains({name.data(), name.size()});
  }

  const boost::json::object& object_;
  bool ok_ = true;
};

constexpr forward::ShiftState kStates[] = {forward::ShiftState::kRunning,
                                           forward::ShiftState::kComplete,
                                           forward::ShiftState::kRolledBack};
constexpr forward::ShiftStage kStages[] = {forward::ShiftStage::kObserve,
                                           forward::ShiftStage::kLoad,
                                           forward::ShiftStage::kFull};

std::string FormatRow(const forward::VersionCountsRow& row) {
  return boost::json::serialize(
      boost::json::object{{"route", row.route},
                          {"zone", row.zone},
                          {"leaf", row.leaf},
                          {"calls", row.counts.calls},
                          {"failed", row.counts.failed},
                          {"slow", row.counts.slow}});
}

std::optional<forward::VersionCountsRow> ParseRow(
    const boost::json::value& value) {
  const auto* object = value.if_object();
  if (object == nullptr) return std::nullopt;
  MemberReader reader(*object);
  forward::VersionCountsRow row;
  row.route = reader.String("route");
  row.zone = reader.String("zone");
  row.leaf = reader.String("leaf");
  row.counts = {.calls = reader.Count("calls"),
                .failed = reader.Count("failed"),
                .slow = reader.Count("slow")};
  const forward::VersionCounts& counts = row.counts;
  const bool consistent = counts.failed <= counts.calls &&
                          counts.slow <= counts.calls - counts.failed;
  if (!reader.ok() || !consistent) return std::nullopt;
  return row;
}

/// Parses one JSON object; returns nothing if `text` is none or is too long.
std::optional<boost::json::value> ParseObject(std::string_view text) {
  if (text.size() > kMaxVersionReportBytes) return std::nullopt;
  boost::json::error_code error;
  auto root = boost::json::parse({text.data(), text.size()}, error);
  if (error || !root.is_object()) return std::nullopt;
  return root;
}

}  // namespace

std::string FormatVersionReport(const forward::VersionShiftReport& report) {
  const boost::json::object head = {
      {"host", report.host},
      {"incarnation", report.incarnation},
      {"sequence", report.sequence},
      {"service", report.service},
      {"target_version", report.target_version},
      {"order_era", report.order.era},
      {"order_revision", report.order.revision},
      {"step", report.step},
      {"state", forward::ShiftStateName(report.state)},
      {"stage", forward::ShiftStageName(report.stage)},
      {"elapsed_ms", report.elapsed.count()},
      {"old_calls_running", report.old_calls_running}};
  std::string text = boost::json::serialize(head);
  text.back() = ',';
  text += "\"rows\":[";
  constexpr std::string_view end = "]}";
  bool first = true;
  for (const forward::VersionCountsRow& row : report.rows) {
    const std::string formatted = FormatRow(row);
    if (text.size() + 1 + formatted.size() + end.size() >
        kMaxVersionReportBytes)
      break;
    if (!std::exchange(first, false)) text += ',';
    text += formatted;
  }
  return text.append(end);
}

std::optional<forward::VersionShiftReport> ParseVersionReport(
    std::string_view text) {
  const auto root = ParseObject(text);
  if (!root) return std::nullopt;
  MemberReader reader(root->get_object());
  forward::VersionShiftReport report;
  report.host = reader.String("host");
  report.incarnation = reader.Count("incarnation");
  report.sequence = reader.Count("sequence");
  report.service = reader.String("service");
  report.target_version = reader.String("target_version");
  report.order = {.era = reader.Count("order_era"),
                  .revision = reader.Count("order_revision")};
  report.step = reader.Count("step");
  report.state = reader.Named("state", kStates, &forward::ShiftStateName);
  report.stage = reader.Named("stage", kStages, &forward::ShiftStageName);
  report.elapsed = reader.Duration("elapsed_ms");
  report.old_calls_running = reader.Bool("old_calls_running");
  for (const auto& value : reader.Array("rows")) {
    auto row = ParseRow(value);
    if (!row) return std::nullopt;
    report.rows.push_back(std::move(*row));
  }
  if (!reader.ok() || report.host.empty() || report.service.empty())
    return std::nullopt;
  return report;
}

std::string FormatVersionReportAnswer(
    const forward::VersionReportAnswer& answer) {
  return boost::json::serialize(
      boost::json::object{{"service", answer.service},
                          {"accepted", answer.accepted},
                          {"order_era", answer.order.era},
                          {"order_revision", answer.order.revision},
                          {"step", answer.step}});
}

std::optional<forward::VersionReportAnswer> ParseVersionReportAnswer(
    std::string_view text) {
  const auto root = ParseObject(text);
  if (!root) return std::nullopt;
  MemberReader reader(root->get_object());
  forward::VersionReportAnswer answer;
  answer.service = reader.String("service");
  answer.accepted = reader.Bool("accepted");
  answer.order = {.era = reader.Count("order_era"),
                  .revision = reader.Count("order_revision")};
  answer.step = reader.Count("step");
  if (!reader.ok()) return std::nullopt;
  return answer;
}

}  // namespace berylreach::gateway
