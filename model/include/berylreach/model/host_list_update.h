// The message that publishes the host list.
#pragma once

#include "berylreach/model/host_list.h"

namespace berylreach::model {

/// The newest host list that the sender knows.
struct HostListUpdate {
  HostList list;

  friend bool operator==(const HostListUpdate&,
                         const HostListUpdate&) = default;
};

}  // namespace berylreach::model
