// Receiver of the actions of the core.
#pragma once

#include "berylreach/core/action.h"
#include "berylreach/core/host_core.h"

namespace berylreach::host {

/// Carries out actions. Called on the core thread; must not block.
class ActionSink {
 public:
  virtual ~ActionSink() = default;

  /// Carries out one action.
  virtual void OnAction(core::Action action) = 0;

  /// Follows a group of actions: what they hand to other threads must be on its
  /// way when this returns.
  virtual void OnActionsEnd() = 0;

  /// The planned stop is complete.
  virtual void OnStopped() = 0;
};

}  // namespace berylreach::host
