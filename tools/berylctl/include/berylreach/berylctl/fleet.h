// Queries the hosts of an environment for their state.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "berylreach/berylctl/environment_store.h"
#include "berylreach/berylctl/result.h"
#include "berylreach/berylctl/runtime.h"
#include "berylreach/config/host_status.h"
#include "berylreach/config/host_timeline.h"
#include "berylreach/model/document_ref.h"
#include "berylreach/model/member.h"

namespace berylreach::berylctl {

/// A member of the environment, with the status that it reported.
struct HostView {
  model::Member member;
  /// Absent if the host did not respond.
  std::optional<config::HostStatus> status;
};

/// Fetches the status of each member, in the order of `members`.
std::vector<HostView> FetchStatuses(HttpClient& http,
                                    const std::vector<model::Member>& members);

/// Fetches the timeline of each member, in the order of `members`; nothing for
/// a host that did not respond.
std::vector<std::optional<config::HostTimeline>> FetchTimelines(
    HttpClient& http, const std::vector<model::Member>& members);

/// Whether the host has `wanted` or a later version in force, or holds no lease
/// and thus cannot serve under an older version.
bool HasInForce(const HostView& view, const model::DocumentRef& wanted);

/// Why the host counts as lagging, such as "h2 (aarhus): has version 3 in
/// force".
std::string DescribeLag(const HostView& view);

/// Polls the members of the head record until all have `wanted` in force, and
/// returns their number. After `timeout`, fails with kHostsLag and the hosts
/// that lag.
Result<std::size_t> AwaitHosts(EnvironmentStore& store, Runtime& runtime,
                               const model::DocumentRef& wanted,
                               base::Duration timeout);

}  // namespace berylreach::berylctl
