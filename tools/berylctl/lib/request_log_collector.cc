// Selects and sorts the lines of the hosts' logs that explain the outcome of
// one request.
#include "request_log_collector.h"

#include <map>
#include <optional>
#include <string_view>

namespace berylreach::berylctl {
namespace {

std::optional<json::object> ParseLine(const std::string& text) {
  boost::system::error_code error;
  json::value value = json::parse(text, error);
  if (error || !value.is_object()) return std::nullopt;
  return std::move(value.get_object());
}

/// Returns the field `name` as text: a string as it is, another value as JSON,
/// and an empty text if the field is absent.
std::string FieldText(const json::object& line, std::string_view name) {
  const json::value* value = line.if_contains({name.data(), name.size()});
  if (value == nullptr) return {};
  if (value->is_string()) return std::string(value->get_string());
  return json::serialize(*value);
}

/// Splits a text at spaces, semicolons and colons.
std::vector<std::string> SplitWords(const std::string& text) {
  std::vector<std::string> words;
  std::string word;
  for (const char c : text + " ") {
    if (c != ' ' && c != ';' && c != ':') {
      word += c;
    } else if (!word.empty()) {
      words.push_back(std::move(word));
      word.clear();
    }
  }
  return words;
}

/// Whether the event is about the state of the host as a whole, and thus
/// context for each request, whatever its subject.
bool IsHostStateEvent(const std::string& event) {
  static const std::set<std::string> events = {
      "started",    "stopping",       "stopped",
      "store_lost", "store_regained", "store_history_gone",
      "zone_out",   "zone_back",      "configuration_rejected"};
  return events.contains(event);
}

}  // namespace

bool RequestLogCollector::BelongsToRequest(const json::object& line) const {
  return FieldText(line, "id") == request_ ||
         FieldText(line, "detail") == request_;
}

void RequestLogCollector::RecordReferences(const std::string& text) {
  const auto line = ParseLine(text);
  if (!line) {
    ++unreadable_lines_;
    return;
  }
  if (!BelongsToRequest(*line)) return;
  const std::string host = FieldText(*line, "host");
  if (FieldText(*line, "event") == "request") {
    request_hosts_.insert(host);
    configuration_versions_.insert(FieldText(*line, "configuration"));
    if (!FieldText(*line, "group_hosts").empty()) entry_hosts_.insert(host);
  }
  for (const char* field : {"unanswered", "group_hosts", "subject"}) {
    for (std::string& word : SplitWords(FieldText(*line, field)))
      referenced_names_.insert(std::move(word));
  }
}

bool RequestLogCollector::IsContext(const json::object& line) const {
  const std::string host = FieldText(line, "host");
  const bool concerned =
      request_hosts_.contains(host) || referenced_names_.contains(host);
  if (!concerned) return false;
  const std::string event = FieldText(line, "event");
  if (IsHostStateEvent(event)) return true;
  const std::string subject = FieldText(line, "subject");
  if (event == "configuration_adopted")
    return configuration_versions_.contains(subject);
  if (event == "request") return false;
  // A subject ends with the name of a leaf or host; that of a leaf starts with
  // its service.
  const auto words = SplitWords(subject);
  return !words.empty() && referenced_names_.contains(words.back());
}

void RequestLogCollector::Collect(const std::string& text) {
  auto line = ParseLine(text);
  if (!line) return;
  const bool of_request = BelongsToRequest(*line);
  if (!of_request && !IsContext(*line)) return;
  const std::string host = FieldText(*line, "host");
  const std::string event = FieldText(*line, "event");
  if (of_request) {
    if (event == "request") completed_hosts_.insert(host);
  } else {
    // State that a host recorded after its outcome did not affect the request.
    if (completed_hosts_.contains(host)) return;
    // Of context lines with equal host, event and subject, the last one
    // replaces the earlier ones.
    const std::string subject = FieldText(*line, "subject");
    std::erase_if(collected_lines_, [&](const CollectedLine& collected) {
      return !collected.of_request &&
             FieldText(collected.line, "host") == host &&
             FieldText(collected.line, "event") == event &&
             FieldText(collected.line, "subject") == subject;
    });
  }
  collected_lines_.push_back({std::move(*line), of_request});
}

std::vector<json::object> RequestLogCollector::Lines() const {
  // Order of the hosts: those that logged only context, those that ran the
  // request or groups of its shards, the entry host.
  const auto rank = [this](const std::string& host) {
    if (entry_hosts_.contains(host)) return 2;
    return request_hosts_.contains(host) ? 1 : 0;
  };
  std::vector<json::object> lines;
  for (int wanted_rank = 0; wanted_rank <= 2; ++wanted_rank) {
    std::map<std::string, std::vector<json::object>> by_host;
    for (const CollectedLine& collected : collected_lines_) {
      const std::string host = FieldText(collected.line, "host");
      if (rank(host) == wanted_rank) by_host[host].push_back(collected.line);
    }
    for (auto& [host, host_lines] : by_host)
      lines.insert(lines.end(), host_lines.begin(), host_lines.end());
  }
  return lines;
}

}  // namespace berylreach::berylctl
