// Lookup of stored documents by their names on the command line.
#include "stored_document.h"

#include <utility>

#include "arguments.h"
#include "berylreach/berylctl/environment_store.h"
#include "berylreach/berylctl/store_client.h"

namespace berylreach::berylctl {
namespace {

constexpr std::string_view kPrefix = "env:";

/// Hash of the document with the given version; of the current one if the
/// version is empty.
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

}  // namespace

bool NamesStoredDocument(std::string_view argument) {
  return argument.substr(0, kPrefix.size()) == kPrefix;
}

Result<StoredDocument> FindStoredDocument(const Options& options,
                                          Runtime& runtime,
                                          std::string_view argument) {
  if (!NamesStoredDocument(argument))
    return Failure{ExitCode::kUsage,
                   std::string(argument) +
                       " is not of the form env:NAME or env:NAME@VERSION"};
  argument.remove_prefix(kPrefix.size());
  const std::size_t at = argument.find('@');
  std::string name(argument.substr(0, at));
  const std::string version(
      at == std::string_view::npos ? "" : argument.substr(at + 1));
  BOOST_OUTCOME_TRY(RequireEnvironment(name, "env:NAME"));
  StoreClient client(runtime.http, options.store);
  BOOST_OUTCOME_TRY(auto head, EnvironmentStore(client, name).ReadHead());
  BOOST_OUTCOME_TRY(auto hash, FindHash(head.record, version));
  return StoredDocument{std::move(name), std::move(hash)};
}

}  // namespace berylreach::berylctl
