// What may happen to a host that reads the store for others.
#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <string>

#include "store_simulation.h"

namespace berylreach::forward {

/// What happens to the reader just before the store acknowledges a change.
enum class ReaderTrouble {
  kFrozen,
  /// So short that the reader still answers the polls of its followers, before
  /// it notices that it was paused.
  kFrozenShortly,
  /// Same, in the pause after an earlier change: it sends its next watch, other
  /// calls and its answers to the polls all at once.
  kFrozenInPause,
  kKilled,
  kCutOff,
  kHeldUpShortly,
  kHeldUp,
  kWatchLost,
  kBothFrozen,
  /// Cut off from the store, and silent before it notices that.
  kCutOffThenSilent
};

inline constexpr std::array kReaderTroubles{
    ReaderTrouble::kFrozen,        ReaderTrouble::kFrozenShortly,
    ReaderTrouble::kFrozenInPause, ReaderTrouble::kKilled,
    ReaderTrouble::kCutOff,        ReaderTrouble::kHeldUpShortly,
    ReaderTrouble::kHeldUp,        ReaderTrouble::kWatchLost,
    ReaderTrouble::kBothFrozen,    ReaderTrouble::kCutOffThenSilent};

/// Holds up the answers of the store to a host for some time.
inline void HoldUp(StoreSimulation& simulation, const std::string& host,
                   milliseconds duration) {
  simulation.store.SetHeldUp(host, true);
  simulation.time.After(duration, [&simulation, host] {
    simulation.store.SetHeldUp(host, false);
  });
}

/// Begins `trouble` of the host number `reader`, which is 0 or 1: the readers
/// of the first zone.
inline void DisturbReader(StoreSimulation& simulation, ReaderTrouble trouble,
                          std::size_t reader) {
  SimulatedHost& host = *simulation.hosts[reader];
  const std::string& name = host.entry().name;
  switch (trouble) {
    case ReaderTrouble::kFrozen:
      host.Freeze(seconds(4));
      break;
    case ReaderTrouble::kFrozenShortly:
      host.Freeze(milliseconds(2500), milliseconds(100));
      break;
    case ReaderTrouble::kFrozenInPause:
      simulation.store.Put("leaf1", "2");
      simulation.time.RunFor(milliseconds(100));
      host.Freeze(milliseconds(2500), milliseconds(100));
      break;
    case ReaderTrouble::kKilled:
      host.Kill();
      break;
    case ReaderTrouble::kCutOff:
      simulation.store.SetCutOff(name, true);
      break;
    case ReaderTrouble::kHeldUpShortly:
      HoldUp(simulation, name, milliseconds(1000));
      break;
    case ReaderTrouble::kHeldUp:
      HoldUp(simulation, name, milliseconds(2000));
      break;
    case ReaderTrouble::kWatchLost:
      simulation.store.ForgetWatchesOf(name);
      break;
    case ReaderTrouble::kBothFrozen:
      host.Freeze(seconds(4));
      simulation.time.After(milliseconds(2500), [&simulation, reader] {
        simulation.hosts[1 - reader]->Freeze(seconds(4));
      });
      break;
    case ReaderTrouble::kCutOffThenSilent:
      simulation.store.SetCutOff(name, true);
      simulation.time.After(milliseconds(2600),
                            [&host] { host.Freeze(seconds(10)); });
      break;
  }
}

}  // namespace berylreach::forward
