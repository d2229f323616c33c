// Formats what the build has recorded of itself.
#include "berylreach/build_info/build_info.h"

#include "commit.h"

namespace berylreach::build_info {

BuildInfo ThisBuild() {
  return {.version = BERYLREACH_VERSION,
          .commit = kCommit,
          .changed = kChanged,
          .compiler = BERYLREACH_COMPILER,
          .architecture = BERYLREACH_ARCHITECTURE};
}

std::string CommitText(const BuildInfo& build) {
  return std::string(build.commit) + (build.changed ? "+changed" : "");
}

std::string Describe(const BuildInfo& build) {
  std::string text(build.version);
  text.append(", commit ").append(CommitText(build));
  text.append(", ").append(build.compiler);
  return text.append(", ").append(build.architecture);
}

std::string VersionText(std::string_view name, const BuildInfo& build) {
  std::string text(name);
  text.append(" ").append(build.version);
  text.append("\ncommit ").append(CommitText(build));
  text.append("\ncompiler ").append(build.compiler);
  return text.append("\narchitecture ").append(build.architecture).append("\n");
}

std::string MetricLine(const BuildInfo& build) {
  std::string text = "berylreach_build_info{version=\"";
  text.append(build.version);
  text.append("\",commit=\"").append(CommitText(build));
  text.append("\",compiler=\"").append(build.compiler);
  text.append("\",architecture=\"").append(build.architecture);
  return text.append("\"} 1\n");
}

}  // namespace berylreach::build_info
