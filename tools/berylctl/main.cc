// berylctl, the operators' command line tool: parses the flags and runs one
// subcommand.
#include <gflags/gflags.h>

#include <chrono>
#include <cstdlib>
#include <iostream>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "berylreach/base/system_clock.h"
#include "berylreach/berylctl/beast_http_client.h"
#include "berylreach/berylctl/run.h"
#include "berylreach/command_line/parse.h"

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

/// Maximum time of one HTTP request; hosts and store respond in milliseconds.
constexpr std::chrono::seconds kRequestTimeout{2};

std::string Author() {
  if (!FLAGS_author.empty()) return FLAGS_author;
  const char* user = std::getenv("USER");
  return user == nullptr ? "" : user;
}

void ApplyFlags(Options& options) {
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

ExitCode RunProcess(const Options& options) {
  BeastHttpClient http(kRequestTimeout);
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
  std::vector<std::string> positional;
  if (const auto invalid_flag = command_line::Parse(argc, argv, positional)) {
    std::cerr << "berylctl: wrong flag " << *invalid_flag
              << "; see berylctl --help\n";
    return ExitCode::kUsage;
  }
  if (command_line::IsSet("help")) {
    std::cout << UsageText();
    return ExitCode::kSuccess;
  }
  if (command_line::IsSet("version")) {
    std::cout << VersionText();
    return ExitCode::kSuccess;
  }
  Options options;
  if (!positional.empty()) {
    options.command = positional.front();
    options.arguments.assign(positional.begin() + 1, positional.end());
  }
  ApplyFlags(options);
  return RunProcess(options);
}

}  // namespace
}  // namespace berylreach::berylctl

int main(int argc, char** argv) {
  return static_cast<int>(berylreach::berylctl::Main(argc, argv));
}
