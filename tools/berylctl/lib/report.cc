// Formatting of findings, changes and failures as text and JSON.
#include "report.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <ctime>

namespace berylreach::berylctl {
namespace {

constexpr int kMicrosecondsPerSecond = 1'000'000;

std::string_view CodeName(ExitCode code) {
  switch (code) {
    case ExitCode::kSuccess:
      return "success";
    case ExitCode::kUsage:
      return "usage";
    case ExitCode::kFindings:
      return "findings";
    case ExitCode::kConflict:
      return "conflict";
    case ExitCode::kHostsLag:
      return "hosts_lag";
    case ExitCode::kStoreUnreachable:
      return "store_unreachable";
  }
  return "unknown";
}

json::string ToJsonString(std::string_view text) {
  return json::string(text.data(), text.size());
}

/// Parses serialized JSON; an empty text becomes null.
json::value ParseOrNull(const std::string& text) {
  return text.empty() ? json::value(nullptr) : json::parse(text);
}

}  // namespace

std::string FormatTime(std::chrono::system_clock::time_point at) {
  using std::chrono::microseconds;
  const auto since =
      std::chrono::floor<microseconds>(at.time_since_epoch()).count();
  const std::time_t seconds = since / kMicrosecondsPerSecond;
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  std::array<char, 64> date{};
  std::strftime(date.data(), date.size(), "%Y-%m-%dT%H:%M:%S", &parts);
  std::array<char, 16> fraction{};
  std::snprintf(fraction.data(), fraction.size(), ".%06dZ",
                static_cast<int>(since % kMicrosecondsPerSecond));
  return std::string(date.data()) + fraction.data();
}

std::string Printable(std::string_view text) {
  std::string result(text);
  const auto is_control = [](unsigned char c) { return c < 0x20 || c == 0x7f; };
  std::replace_if(result.begin(), result.end(), is_control, '?');
  return result;
}

json::object ToJson(const model::DocumentRef& document) {
  return {{"version", document.version}, {"hash", document.hash}};
}

json::array ToJson(const base::Findings& findings) {
  json::array result;
  for (const base::Finding& finding : findings)
    result.push_back(
        {{"place", finding.location}, {"message", finding.message}});
  return result;
}

json::array ToJson(const std::vector<config::DocumentChange>& changes) {
  json::array result;
  for (const config::DocumentChange& change : changes)
    result.push_back({{"kind", ToJsonString(ToString(change.kind))},
                      {"place", change.location},
                      {"subject", change.subject},
                      {"old", ParseOrNull(change.old_value)},
                      {"new", ParseOrNull(change.new_value)}});
  return result;
}

json::object ToJson(const Failure& failure) {
  json::array hosts;
  for (const std::string& host : failure.hosts) hosts.emplace_back(host);
  return {{"error",
           {{"code", ToJsonString(CodeName(failure.code))},
            {"message", failure.message}}},
          {"findings", ToJson(failure.findings)},
          {"changes", ToJson(failure.changes)},
          {"hosts", std::move(hosts)}};
}

void PrintChanges(const std::vector<config::DocumentChange>& changes,
                  std::ostream& out) {
  for (const config::DocumentChange& change : changes) {
    switch (change.kind) {
      case config::ChangeKind::kAdded:
        out << "+ " << change.subject << ": " << change.new_value;
        break;
      case config::ChangeKind::kRemoved:
        out << "- " << change.subject << ": " << change.old_value;
        break;
      case config::ChangeKind::kChanged:
        out << "~ " << change.subject << ": " << change.old_value << " -> "
            << change.new_value;
        break;
    }
    out << "  (" << change.location << ")\n";
  }
}

void PrintFailure(const Failure& failure, std::ostream& out) {
  out << "berylctl: " << Printable(failure.message) << '\n';
  for (const base::Finding& finding : failure.findings)
    out << "  " << (finding.location.empty() ? "(document)" : "")
        << Printable(finding.location) << ": " << Printable(finding.message)
        << '\n';
  PrintChanges(failure.changes, out);
  for (const std::string& host : failure.hosts)
    out << "  " << Printable(host) << '\n';
}

void PrintJson(const json::value& value, std::ostream& out) {
  out << json::serialize(value) << '\n';
}

}  // namespace berylreach::berylctl
