// berylreachd, the server process of an entry host: parses the command line,
// starts the host and stops it on a signal.
#include <gflags/gflags.h>
#include <pthread.h>
#include <signal.h>  // NOLINT(modernize-deprecated-headers): sigwait is POSIX only.

#include <atomic>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "berylreach/build_info/build_info.h"
#include "berylreach/command_line/parse.h"
#include "berylreach/config/host_settings.h"
#include "berylreach/host/host_process.h"
#include "berylreach/host/log.h"
#include "berylreach/platform/run_host.h"

DEFINE_string(settings, "", "path of the settings file (JSON)");
DEFINE_string(http_listen, "", "overrides http_listen of the settings");
DEFINE_string(rpc_listen, "", "overrides rpc_listen of the settings");
DEFINE_bool(check, false, "check the settings and exit");
DEFINE_bool(platform, false,
            "run on the platform, whose settings the environment names");

namespace {

constexpr int kUsageError = 2;
constexpr int kSettingsError = 3;
constexpr int kBindError = 4;
constexpr int kStopCutShort = 5;
constexpr unsigned kStopTimeoutSeconds = 30;

constexpr char kUsageText[] =
    R"(berylreachd runs one berylreach entry host.

usage: berylreachd --settings=FILE [FLAGS]
       berylreachd --platform

Prints the bound addresses as one JSON line when ready to accept connections.
SIGTERM begins a planned stop; a second signal ends it at once.

flags
  --settings=FILE        settings of the host (JSON)
  --http_listen=IP:PORT  overrides http_listen of the settings
  --rpc_listen=IP:PORT   overrides rpc_listen of the settings
  --check                check the settings and exit
  --platform             run as a gateway on the platform (docs/platform.md)
  --help, --version

exit codes
  0 stopped               4 cannot listen
  2 wrong usage           5 planned stop cut short
  3 wrong settings
)";

using berylreach::config::HostSettings;

std::optional<std::string> ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) return std::nullopt;
  return std::string(std::istreambuf_iterator<char>(file), {});
}

/// Replaces `address` by the value of a flag, if one is given. Returns false
/// for an invalid address, after an error message.
bool OverrideAddress(const char* flag, const std::string& value,
                     std::string& address) {
  if (value.empty()) return true;
  if (const auto fault = berylreach::config::CheckListenAddress(value)) {
    std::cerr << flag << ": " << *fault << "\n";
    return false;
  }
  address = value;
  return true;
}

std::optional<HostSettings> LoadSettings() {
  const auto bytes = ReadFile(FLAGS_settings);
  if (!bytes) {
    std::cerr << "cannot read settings file \"" << FLAGS_settings << "\"\n";
    return std::nullopt;
  }
  auto parsed = berylreach::config::ParseHostSettings(*bytes);
  for (const auto& finding : parsed.findings) {
    std::cerr << FLAGS_settings << (finding.location.empty() ? "" : ":")
              << finding.location << ": " << finding.message << "\n";
  }
  if (!parsed.value) return std::nullopt;
  HostSettings& settings = *parsed.value;
  const bool http_valid =
      OverrideAddress("--http_listen", FLAGS_http_listen, settings.http_listen);
  const bool rpc_valid =
      OverrideAddress("--rpc_listen", FLAGS_rpc_listen, settings.rpc_listen);
  if (!http_valid || !rpc_valid) return std::nullopt;
  return std::move(parsed.value);
}

sigset_t StopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  return signals;
}

/// Blocks until a stop signal arrives; the signals must be blocked already.
int WaitForSignal() {
  const sigset_t signals = StopSignals();
  int signal = 0;
  sigwait(&signals, &signal);
  return signal;
}

/// Ends the process on a second signal or after kStopTimeoutSeconds, whichever
/// comes first, if the planned stop has not finished by then.
void ForceExitOnSignalOrTimeout() {
  std::thread([] {
    WaitForSignal();
    std::_Exit(kStopCutShort);
  }).detach();
  std::thread([] {
    std::this_thread::sleep_for(std::chrono::seconds(kStopTimeoutSeconds));
    std::_Exit(kStopCutShort);
  }).detach();
}

/// Runs the host until a planned stop has finished, and returns the exit code.
int Run(const HostSettings& settings) {
  // Writing to a connection that the peer has closed must not end the process.
  signal(SIGPIPE, SIG_IGN);
  berylreach::host::StartLog(settings.host.value);
  berylreach::host::LogStateChange(
      "started", settings.host.value,
      berylreach::build_info::Describe(berylreach::build_info::ThisBuild()));
  std::atomic<bool> stopped = false;
  auto process = berylreach::host::HostProcess::Start(settings, [&stopped] {
    stopped = true;
    stopped.notify_all();
  });
  if (!process) {
    std::cerr << "cannot listen on " << process.error().address << ": "
              << process.error().message << "\n";
    return kBindError;
  }
  std::cout << R"({"http":")" << process.value()->http_address()
            << R"(","rpc":")" << process.value()->rpc_address() << "\"}"
            << std::endl;
  WaitForSignal();
  ForceExitOnSignalOrTimeout();
  process.value()->Stop();
  stopped.wait(false);
  process.value().reset();
  berylreach::host::StopLog();
  return EXIT_SUCCESS;
}

}  // namespace

int main(int argc, char** argv) {
  // A SIGHUP, sent for a change of the settings file, must not end a process
  // that is starting.
  signal(SIGHUP, SIG_IGN);
  // Block the stop signals before any thread starts: one that arrives during
  // the start then leads to a planned stop, and only the waiting thread
  // receives it.
  const sigset_t signals = StopSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::vector<std::string> positional;
  if (const auto invalid_flag =
          berylreach::command_line::Parse(argc, argv, positional)) {
    std::cerr << "wrong flag " << *invalid_flag << " (see --help)\n";
    return kUsageError;
  }
  if (berylreach::command_line::IsSet("help")) {
    std::cout << kUsageText;
    return EXIT_SUCCESS;
  }
  if (berylreach::command_line::IsSet("version")) {
    std::cout << berylreach::build_info::VersionText(
        "berylreachd", berylreach::build_info::ThisBuild());
    return EXIT_SUCCESS;
  }
  if (FLAGS_platform && positional.empty() && FLAGS_settings.empty())
    return berylreach::platform::RunHost();
  if (!positional.empty() || FLAGS_settings.empty()) {
    std::cerr << "usage: berylreachd --settings=FILE (see --help)\n";
    return kUsageError;
  }
  const auto settings = LoadSettings();
  if (!settings) return kSettingsError;
  if (FLAGS_check) {
    std::cout << "settings are valid\n";
    return EXIT_SUCCESS;
  }
  return Run(*settings);
}
