// The operators' command line: reads the flags and runs one command.
#include <gflags/gflags.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <iostream>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <thread>

#include "berylreach/base/system_clock.h"
#include "berylreach/berylctl/beast_http_client.h"
#include "berylreach/berylctl/run.h"

DEFINE_string(store, "127.0.0.1:8500", "IP:port of the platform store");
DEFINE_string(environment, "", "key prefix of the environment");
DEFINE_string(from, "", "source of a promotion");
DEFINE_string(to, "", "target of a promotion");
DEFINE_string(author, "", "author recorded in the history");
DEFINE_string(note, "", "note recorded in the history");
DEFINE_uint64(base_version, 0, "version that the document was made from");
DEFINE_uint32(timeout, 30, "seconds to wait");
DEFINE_bool(json, false, "machine-readable output");

namespace berylreach::berylctl {
namespace {

/// Longest time for one HTTP request; hosts and store answer in milliseconds.
constexpr std::chrono::seconds kRequestLimit{2};

/// Sets one flag, taking its value from `next` if needed. Returns the number of
/// arguments used, 0 for a wrong flag. gflags' own parser ends the process with
/// status 1 for a wrong flag, which is not the documented exit code.
int SetFlag(std::string_view argument, const char* next) {
  argument.remove_prefix(
      std::min(argument.find_first_not_of('-'), std::size_t{2}));
  const std::size_t equals = argument.find('=');
  std::string name(argument.substr(0, equals));
  std::replace(name.begin(), name.end(), '-', '_');
  gflags::CommandLineFlagInfo info;
  if (!gflags::GetCommandLineFlagInfo(name.c_str(), &info)) return 0;
  std::string value;
  int used = 1;
  if (equals != std::string_view::npos) {
    value = argument.substr(equals + 1);
  } else if (info.type == "bool") {
    value = "true";
  } else if (next != nullptr) {
    value = next;
    used = 2;
  } else {
    return 0;
  }
  const std::string set =
      gflags::SetCommandLineOption(name.c_str(), value.c_str());
  return set.empty() ? 0 : used;
}

/// Reads flags and arguments in any order; the first argument that is wrong if
/// there is one.
std::optional<std::string> ParseArguments(int argc, char** argv,
                                          Options& options) {
  std::vector<std::string> positional;
  for (int i = 1; i < argc;) {
    const std::string_view argument = argv[i];
    if (argument.substr(0, 2) != "--") {
      positional.emplace_back(argument);
      ++i;
      continue;
    }
    const int used = SetFlag(argument, i + 1 < argc ? argv[i + 1] : nullptr);
    if (used == 0) return std::string(argument);
    i += used;
  }
  if (!positional.empty()) {
    options.command = positional.front();
    options.arguments.assign(positional.begin() + 1, positional.end());
  }
  return std::nullopt;
}

std::string Author() {
  if (!FLAGS_author.empty()) return FLAGS_author;
  const char* user = std::getenv("USER");
  return user == nullptr ? "" : user;
}

void TakeFlags(Options& options) {
  options.store = FLAGS_store;
  options.environment = FLAGS_environment;
  options.from = FLAGS_from;
  options.to = FLAGS_to;
  options.author = Author();
  options.note = FLAGS_note;
  options.timeout = std::chrono::seconds(FLAGS_timeout);
  options.json = FLAGS_json;
  if (!gflags::GetCommandLineFlagInfoOrDie("base_version").is_default)
    options.base_version = FLAGS_base_version;
}

bool IsSet(const char* flag) {
  std::string value;
  return gflags::GetCommandLineOption(flag, &value) && value == "true";
}

ExitCode RunProcess(const Options& options) {
  BeastHttpClient http(kRequestLimit);
  base::SystemClock clock;
  std::random_device device;
  std::mt19937_64 generator((static_cast<std::uint64_t>(device()) << 32U) |
                            device());
  Runtime runtime{
      http,
      clock,
      [](base::Duration time) { std::this_thread::sleep_for(time); },
      [&generator] { return generator(); },
      std::cout,
      std::cerr};
  return Run(options, runtime);
}

ExitCode Main(int argc, char** argv) {
  Options options;
  if (const auto wrong = ParseArguments(argc, argv, options)) {
    std::cerr << "berylctl: wrong flag " << *wrong << "; see berylctl --help\n";
    return ExitCode::kUsage;
  }
  if (IsSet("help")) {
    std::cout << UsageText();
    return ExitCode::kSuccess;
  }
  if (IsSet("version")) {
    std::cout << "berylctl " << VersionText() << '\n';
    return ExitCode::kSuccess;
  }
  TakeFlags(options);
  return RunProcess(options);
}

}  // namespace
}  // namespace berylreach::berylctl

int main(int argc, char** argv) {
  return static_cast<int>(berylreach::berylctl::Main(argc, argv));
}
