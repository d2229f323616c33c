// The parsed command line of berylctl.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace berylreach::berylctl {

/// The subcommand with its arguments and flags.
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
  /// Recorded in the history by a submit or a promotion.
  std::string author;
  std::string note;
  /// Version that the document to write was made from.
  std::optional<std::uint64_t> base_version;
  /// Maximum time to wait for the store, and then again for the hosts.
  std::chrono::milliseconds timeout{30'000};
  /// Whether to print JSON instead of text.
  bool json = false;
};

}  // namespace berylreach::berylctl
