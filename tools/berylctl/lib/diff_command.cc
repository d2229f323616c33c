// The subcommand `diff`.
#include <string_view>
#include <utility>

#include "arguments.h"
#include "berylreach/berylctl/commands.h"
#include "berylreach/berylctl/environment_store.h"
#include "berylreach/config/document.h"
#include "berylreach/config/document_diff.h"
#include "document_file.h"
#include "report.h"

namespace berylreach::berylctl {
namespace {

constexpr std::string_view kEnvironmentPrefix = "env:";

Result<model::Environment> LoadFile(const std::string& path) {
  BOOST_OUTCOME_TRY(auto bytes, ReadDocumentFile(path));
  return ValueOrFindings(config::ParseDocument(bytes), path);
}

/// Hash of the document with the given version, or of the one in force.
Result<std::string> FindHash(const model::HeadRecord& head,
                             const std::string& version) {
  if (version.empty()) return head.document.hash;
  for (const model::DocumentEntry& entry : head.history) {
    if (std::to_string(entry.document.version) == version)
      return entry.document.hash;
  }
  return Failure{ExitCode::kUsage,
                 "version " + version + " is not in the history"};
}

/// Loads "NAME" or "NAME@VERSION".
Result<model::Environment> LoadEnvironment(const Options& options,
                                           Runtime& runtime,
                                           std::string_view text) {
  const std::size_t at = text.find('@');
  const std::string name(text.substr(0, at));
  const std::string version(at == std::string_view::npos ? ""
                                                         : text.substr(at + 1));
  BOOST_OUTCOME_TRY(RequireEnvironment(name, "env:NAME"));
  StoreClient client(runtime.http, options.store);
  EnvironmentStore store(client, name);
  BOOST_OUTCOME_TRY(auto head, store.ReadHead());
  BOOST_OUTCOME_TRY(auto hash, FindHash(head.record, version));
  return store.ReadDocument(hash);
}

Result<model::Environment> Load(const Options& options, Runtime& runtime,
                                const std::string& argument) {
  const std::string_view text(argument);
  if (text.substr(0, kEnvironmentPrefix.size()) == kEnvironmentPrefix)
    return LoadEnvironment(options, runtime,
                           text.substr(kEnvironmentPrefix.size()));
  return LoadFile(argument);
}

}  // namespace

Result<void> Diff(const Options& options, Runtime& runtime) {
  BOOST_OUTCOME_TRY(RequireArguments(options, 2, 2));
  BOOST_OUTCOME_TRY(auto before, Load(options, runtime, options.arguments[0]));
  BOOST_OUTCOME_TRY(auto after, Load(options, runtime, options.arguments[1]));
  const auto changes = config::DiffDocuments(before, after);
  if (options.json)
    PrintJson({{"changes", ToJson(changes)}}, runtime.out);
  else
    PrintChanges(changes, runtime.out);
  return Success();
}

}  // namespace berylreach::berylctl
