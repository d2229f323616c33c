// Identity, environment and admission limits of a HostCore.
#pragma once

#include <string>

#include "berylreach/limits/admission_options.h"
#include "berylreach/model/member.h"

namespace berylreach::core {

/// The settings of the process that a HostCore needs.
struct CoreOptions {
  /// This host. Its `incarnation` must be random and not 0.
  model::Member self;
  /// Prefix of all store keys.
  std::string environment;
  limits::AdmissionOptions admission;
};

}  // namespace berylreach::core
