// What a program was built from, so that logs, metrics and operators can tell
// the builds of hosts apart.
#pragma once

#include <string>
#include <string_view>

namespace berylreach::build_info {

/// The sources and the compiler of a program.
struct BuildInfo {
  /// Release, such as "0.1.0".
  std::string_view version;
  /// Abbreviated hash of the commit; "unknown" if the sources were not built
  /// from a repository.
  std::string_view commit;
  /// Whether the sources had been changed since that commit.
  bool changed = false;
  /// Name and version of the compiler.
  std::string_view compiler;
  /// Instruction set of the program, such as "x86_64".
  std::string_view architecture;

  friend bool operator==(const BuildInfo&, const BuildInfo&) = default;
};

/// Returns what this program was built from.
BuildInfo ThisBuild();

/// Returns the commit, with a mark if the sources had been changed since.
std::string CommitText(const BuildInfo& build);

/// Returns `build` on one line, such as
/// "0.1.0, commit 0123456789ab, GNU 12.2.0, x86_64".
std::string Describe(const BuildInfo& build);

/// Returns the output of --version of the program `name`: its release, then a
/// line for each other field.
std::string VersionText(std::string_view name, const BuildInfo& build);

/// Returns `build` as a line of metrics, whose value is always 1.
std::string MetricLine(const BuildInfo& build);

}  // namespace berylreach::build_info
