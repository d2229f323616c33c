// Dispatches subcommands and reports their failures.
#include "berylreach/berylctl/run.h"

#include <array>
#include <string_view>

#include "berylreach/berylctl/commands.h"
#include "berylreach/build_info/build_info.h"
#include "report.h"

namespace berylreach::berylctl {
namespace {

using CommandFunction = Result<void> (*)(const Options&, Runtime&);

struct Command {
  std::string_view name;
  CommandFunction run;
  /// Whether the command prints its result also before it fails with kHostsLag.
  /// With --json, a second object would then make the output invalid.
  bool reports_before_failure = false;
};

constexpr std::array<Command, 9> kCommands{{{"check", Check},
                                            {"submit", Submit},
                                            {"promote", Promote},
                                            {"diff", Diff},
                                            {"show", Show},
                                            {"history", History},
                                            {"status", Status, true},
                                            {"timeline", Timeline, true},
                                            {"explain", Explain}}};

const Command* Find(std::string_view name) {
  for (const Command& command : kCommands) {
    if (command.name == name) return &command;
  }
  return nullptr;
}

void Report(const Failure& failure, const Command* command,
            const Options& options, Runtime& runtime) {
  const bool reported = command != nullptr && command->reports_before_failure &&
                        failure.code == ExitCode::kHostsLag;
  if (options.json && !reported)
    PrintJson(ToJson(failure), runtime.out);
  else
    PrintFailure(failure, runtime.err);
}

}  // namespace

ExitCode Run(const Options& options, Runtime& runtime) {
  const Command* command = Find(options.command);
  const Result<void> result =
      command == nullptr
          ? Failure{ExitCode::kUsage,
                    options.command.empty()
                        ? "a subcommand is missing; see berylctl --help"
                        : "unknown subcommand " + options.command +
                              "; see berylctl --help"}
          : command->run(options, runtime);
  if (result) return ExitCode::kSuccess;
  Report(result.assume_error(), command, options, runtime);
  return result.assume_error().code;
}

std::string VersionText() {
  return build_info::VersionText("berylctl", build_info::ThisBuild());
}

const char* UsageText() {
  return R"(berylctl controls the environments of berylreach.

usage: berylctl SUBCOMMAND [ARGUMENTS] [FLAGS]

  check FILE      check a document without any network use
  submit FILE     put a document in force and wait for the hosts
                  (--environment, --author, --note, --base-version)
  promote         put the document of one environment in force in another
                  (--from, --to, --author, --note, --base-version)
  diff A B        difference from A to B; each is a file, env:NAME or
                  env:NAME@VERSION
  show A          text of a document, env:NAME or env:NAME@VERSION
  history         accepted documents, newest first (--environment)
  status          hosts with document, lease and readiness (--environment)
  timeline        events of all hosts by time (--environment)
  explain ID FILE...
                  what the logs of the hosts say of one request

flags
  --store=IP:PORT        platform store (default 127.0.0.1:8500)
  --environment=NAME     key prefix of the environment, such as trial
  --from=NAME --to=NAME  environments of a promotion
  --author=NAME          recorded in the history (default: $USER)
  --note=TEXT            recorded in the history
  --base-version=N       version that the document was made from (default: the
                         one in force when the command starts)
  --timeout=SECONDS      time to wait for the store and then for the hosts
                         (default 30)
  --json                 machine-readable output
  --help, --version

exit codes
  0 success               4 conflict with another operator's document
  2 wrong command line    5 hosts lag or do not answer
  3 findings              6 store unreachable
)";
}

}  // namespace berylreach::berylctl
