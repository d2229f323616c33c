// The parsed command line.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace berylreach::berylctl {

/// Subcommand, its arguments and flags.
struct Options {
  std::string command;
  std::vector<std::string> arguments;
  /// "IP:port" of the platform store.
  std::string store;
  /// Key prefix of the environment that the command works on.
  std::string environment;
  /// Source and target of a promotion.
  std::string from;
  std::string to;
  /// Recorded in the history with a submit or a promotion.
  std::string author;
  std::string note;
  /// Version that the submitted document was made from.
  std::optional<std::uint64_t> base_version;
  /// How long to wait for the store and then for the hosts.
  std::chrono::milliseconds timeout{30'000};
  /// Machine-readable output.
  bool json = false;
};

}  // namespace berylreach::berylctl
