// Selection and order of log lines.
#include "log_story.h"

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

std::string Text(const json::object& line, std::string_view name) {
  const json::value* value = line.if_contains({name.data(), name.size()});
  if (value == nullptr) return {};
  if (value->is_string()) return std::string(value->get_string());
  return json::serialize(*value);
}

/// Words of a text, without punctuation at their ends.
std::vector<std::string> Words(const std::string& text) {
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

/// Events that say what a host believed, whatever they are about.
bool IsHostState(const std::string& event) {
  static const std::set<std::string> events = {
      "started",    "stopping",       "stopped",
      "store_lost", "store_regained", "store_history_gone",
      "zone_out",   "zone_back",      "configuration_rejected"};
  return events.contains(event);
}

}  // namespace

bool LogStory::IsOwn(const json::object& line) const {
  return Text(line, "id") == request_ || Text(line, "detail") == request_;
}

void LogStory::Look(const std::string& text) {
  const auto line = ParseLine(text);
  if (!line) {
    ++unreadable_;
    return;
  }
  if (!IsOwn(*line)) return;
  const std::string host = Text(*line, "host");
  if (Text(*line, "event") == "request") {
    request_hosts_.insert(host);
    versions_.insert(Text(*line, "configuration"));
    if (!Text(*line, "group_hosts").empty()) entry_hosts_.insert(host);
  }
  for (const char* field : {"unanswered", "group_hosts", "subject"}) {
    for (std::string& word : Words(Text(*line, field)))
      names_.insert(std::move(word));
  }
}

bool LogStory::IsContext(const json::object& line) const {
  const std::string host = Text(line, "host");
  const bool concerned = request_hosts_.contains(host) || names_.contains(host);
  if (!concerned) return false;
  const std::string event = Text(line, "event");
  if (IsHostState(event)) return true;
  const std::string subject = Text(line, "subject");
  if (event == "configuration_adopted") return versions_.contains(subject);
  if (event == "request") return false;
  // A subject ends with the leaf or host; a leaf's service comes before it.
  const auto words = Words(subject);
  return !words.empty() && names_.contains(words.back());
}

void LogStory::Collect(const std::string& text) {
  auto line = ParseLine(text);
  if (!line) return;
  const bool own = IsOwn(*line);
  if (!own && !IsContext(*line)) return;
  const std::string host = Text(*line, "host");
  const std::string event = Text(*line, "event");
  if (own) {
    if (event == "request") answered_hosts_.insert(host);
  } else {
    // What a host learned after its part in the request explains nothing.
    if (answered_hosts_.contains(host)) return;
    // Of equal context only the last line counts.
    const std::string subject = Text(*line, "subject");
    std::erase_if(entries_, [&](const Entry& entry) {
      return !entry.own && Text(entry.line, "host") == host &&
             Text(entry.line, "event") == event &&
             Text(entry.line, "subject") == subject;
    });
  }
  entries_.push_back({std::move(*line), own});
}

std::vector<json::object> LogStory::Lines() const {
  const auto rank = [this](const std::string& host) {
    if (entry_hosts_.contains(host)) return 2;
    return request_hosts_.contains(host) ? 1 : 0;
  };
  std::vector<json::object> lines;
  for (int wanted = 0; wanted <= 2; ++wanted) {
    std::map<std::string, std::vector<json::object>> by_host;
    for (const Entry& entry : entries_) {
      const std::string host = Text(entry.line, "host");
      if (rank(host) == wanted) by_host[host].push_back(entry.line);
    }
    for (auto& [host, own] : by_host)
      lines.insert(lines.end(), own.begin(), own.end());
  }
  return lines;
}

}  // namespace berylreach::berylctl
