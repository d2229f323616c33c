// Interface of the component that carries out the core's actions.
#pragma once

#include "berylreach/core/action.h"
#include "berylreach/core/host_core.h"

namespace berylreach::host {

/// Carries out the actions of the core. All methods are called on the core
/// thread and must not block.
class ActionSink {
 public:
  virtual ~ActionSink() = default;

  virtual void OnAction(core::Action action) = 0;

  /// Called after a group of actions. Before it returns, messages that these
  /// actions buffered for other threads must be handed over.
  virtual void OnActionsEnd() = 0;

  /// Called once when the planned stop is complete.
  virtual void OnStopped() = 0;
};

}  // namespace berylreach::host
