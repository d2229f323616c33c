// The subcommand `history`.
#include <algorithm>
#include <utility>

#include "arguments.h"
#include "berylreach/berylctl/commands.h"
#include "berylreach/berylctl/environment_store.h"
#include "report.h"

namespace berylreach::berylctl {
namespace {

json::object EntryToJson(const model::DocumentEntry& entry) {
  return {{"document", ToJson(entry.document)},
          {"author", entry.author},
          {"at", FormatTime(entry.submitted_at)},
          {"note", entry.note}};
}

}  // namespace

Result<void> History(const Options& options, Runtime& runtime) {
  BOOST_OUTCOME_TRY(RequireArguments(options, 0, 0));
  BOOST_OUTCOME_TRY(RequireEnvironment(options.environment, "--environment"));
  StoreClient client(runtime.http, options.store);
  EnvironmentStore store(client, options.environment);
  BOOST_OUTCOME_TRY(auto head, store.ReadHead());
  auto& history = head.record.history;
  std::reverse(history.begin(), history.end());
  json::array entries;
  for (const model::DocumentEntry& entry : history) {
    entries.push_back(EntryToJson(entry));
    if (options.json) continue;
    runtime.out << entry.document.version << "  "
                << FormatTime(entry.submitted_at) << "  "
                << Printable(entry.author) << "  " << entry.document.hash
                << "  " << Printable(entry.note) << '\n';
  }
  if (options.json) PrintJson({{"history", std::move(entries)}}, runtime.out);
  return Success();
}

}  // namespace berylreach::berylctl
