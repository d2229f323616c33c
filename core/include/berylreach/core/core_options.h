// Identity and limits of a host core.
#pragma once

#include <string>

#include "berylreach/limits/admission_options.h"
#include "berylreach/model/member.h"

namespace berylreach::core {

/// What a host core needs to know from the settings of its process.
struct CoreOptions {
  /// `incarnation` must be random and not 0.
  model::Member self;
  /// Prefix of all store keys.
  std::string environment;
  limits::AdmissionOptions admission;
};

}  // namespace berylreach::core
