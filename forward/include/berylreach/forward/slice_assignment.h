// Assigns coordinators to slices, the subsets of a request's shards that are
// each run by one host.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace berylreach::forward {

/// The order in which one sender, a host that delegates shards, uses the hosts
/// of one slice.
struct SliceHosts {
  /// Hosts that run the slice for this sender, which keeps a connection to
  /// each.
  std::vector<std::string> primaries;
  /// Hosts that take over while no primary is available; the sender keeps a
  /// connection to each.
  std::vector<std::string> backups;
  /// The remaining coordinators, which are used while no primary or backup is
  /// available.
  std::vector<std::string> fallbacks;

  friend bool operator==(const SliceHosts&, const SliceHosts&) = default;
};

/// Assigns each of `coordinators` to one of `slice_count` slices, evenly and so
/// that the loss of a coordinator moves few of the others, because a
/// coordinator that changes its slice needs new connections to all leaves of
/// the new slice. Every slice has a host if there are at least as many
/// coordinators as slices.
std::vector<std::vector<std::string>> AssignSlices(
    const std::vector<std::string>& coordinators, std::size_t slice_count);

/// Returns the hosts of each slice for the sender `self`. Each sender uses few
/// hosts per slice, and different senders use different ones, so that neither
/// the connections of a sender nor those that a coordinator accepts grow with
/// the fleet.
std::vector<SliceHosts> HostsForSender(
    const std::string& self,
    const std::vector<std::vector<std::string>>& slices);

}  // namespace berylreach::forward
