// The subcommand `timeline`, which merges the events of all hosts.
#include <algorithm>
#include <tuple>
#include <utility>

#include "arguments.h"
#include "berylreach/berylctl/commands.h"
#include "berylreach/berylctl/fleet.h"
#include "report.h"

namespace berylreach::berylctl {
namespace {

/// An event, with the host that recorded it.
struct HostEvent {
  std::string host;
  model::TimelineEvent event;
};

bool IsBefore(const HostEvent& left, const HostEvent& right) {
  return std::tie(left.event.time, left.host, left.event.sequence) <
         std::tie(right.event.time, right.host, right.event.sequence);
}

json::object EventToJson(const HostEvent& item) {
  return {{"at", FormatTime(item.event.time)}, {"host", item.host},
          {"sequence", item.event.sequence},   {"type", item.event.type},
          {"subject", item.event.subject},     {"detail", item.event.detail}};
}

void Print(const HostEvent& item, std::ostream& out) {
  out << FormatTime(item.event.time) << "  " << Printable(item.host) << " #"
      << item.event.sequence << "  " << Printable(item.event.type) << "  "
      << Printable(item.event.subject) << "  " << Printable(item.event.detail)
      << '\n';
}

}  // namespace

Result<void> Timeline(const Options& options, Runtime& runtime) {
  BOOST_OUTCOME_TRY(RequireArguments(options, 0, 0));
  BOOST_OUTCOME_TRY(RequireEnvironment(options.environment, "--environment"));
  StoreClient client(runtime.http, options.store);
  EnvironmentStore store(client, options.environment);
  BOOST_OUTCOME_TRY(auto head, store.ReadHead());
  Failure incomplete{ExitCode::kHostsLag, "not all hosts answered"};
  std::vector<HostEvent> events;
  const std::vector<model::Member>& members = head.record.members;
  auto timelines = FetchTimelines(runtime.http, members);
  for (std::size_t i = 0; i < members.size(); ++i) {
    if (!timelines[i]) {
      incomplete.hosts.push_back(DescribeLag({members[i], std::nullopt}));
      continue;
    }
    for (model::TimelineEvent& event : timelines[i]->events)
      events.push_back({members[i].host.value, std::move(event)});
  }
  std::sort(events.begin(), events.end(), IsBefore);
  json::array list;
  for (const HostEvent& event : events) {
    if (options.json)
      list.push_back(EventToJson(event));
    else
      Print(event, runtime.out);
  }
  if (options.json) PrintJson({{"events", std::move(list)}}, runtime.out);
  if (!incomplete.hosts.empty()) return incomplete;
  return Success();
}

}  // namespace berylreach::berylctl
