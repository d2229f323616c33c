// The subcommand `explain`, which prints the log lines that explain one
// request.
#include <chrono>
#include <fstream>

#include "arguments.h"
#include "berylreach/berylctl/commands.h"
#include "report.h"
#include "request_log_collector.h"

namespace berylreach::berylctl {
namespace {

/// Calls `on_line` for each non-empty line of a file. Fails with kUsage if the
/// file cannot be opened.
template <typename OnLine>
Result<void> ReadLines(const std::string& path, OnLine on_line) {
  std::ifstream stream(path);
  if (!stream.is_open())
    return Failure{ExitCode::kUsage, "cannot read file " + path};
  std::string line;
  while (std::getline(stream, line))
    if (!line.empty()) on_line(line);
  return Success();
}

/// Prints time, host and event of a log line, then its other fields as JSON.
void Print(const json::object& line, std::ostream& out) {
  json::object rest = line;
  std::chrono::system_clock::time_point at{};
  if (const auto* time = line.if_contains("at_unix_us");
      time != nullptr && time->is_int64())
    at += std::chrono::microseconds(time->get_int64());
  const auto extract_text = [&rest](const char* name) {
    const auto* value = rest.if_contains(name);
    std::string text = value != nullptr && value->is_string()
                           ? std::string(value->get_string())
                           : std::string();
    rest.erase(name);
    return text;
  };
  rest.erase("at_unix_us");
  const std::string host = extract_text("host");
  const std::string event = extract_text("event");
  out << FormatTime(at) << "  " << Printable(host) << "  " << Printable(event)
      << "  " << Printable(json::serialize(rest)) << '\n';
}

}  // namespace

Result<void> Explain(const Options& options, Runtime& runtime) {
  constexpr std::size_t max_arguments = 10'000;
  BOOST_OUTCOME_TRY(RequireArguments(options, 2, max_arguments));
  RequestLogCollector collector(options.arguments[0]);
  const std::vector<std::string> paths(options.arguments.begin() + 1,
                                       options.arguments.end());
  for (const std::string& path : paths) {
    BOOST_OUTCOME_TRY(ReadLines(path, [&collector](const std::string& line) {
      collector.RecordReferences(line);
    }));
  }
  for (const std::string& path : paths) {
    BOOST_OUTCOME_TRY(ReadLines(path, [&collector](const std::string& line) {
      collector.Collect(line);
    }));
  }
  if (!collector.found()) {
    return Failure{ExitCode::kFindings,
                   "no log line about the outcome of request " +
                       options.arguments[0] +
                       "; requests that were answered whole and in time have "
                       "none"};
  }
  json::array list;
  for (const json::object& line : collector.Lines()) {
    if (options.json) {
      list.push_back(line);
    } else {
      Print(line, runtime.out);
    }
  }
  if (options.json) PrintJson({{"lines", std::move(list)}}, runtime.out);
  if (collector.unreadable_lines() > 0)
    runtime.err << collector.unreadable_lines() << " lines could not be read\n";
  return Success();
}

}  // namespace berylreach::berylctl
