// Publication of the host list.
#pragma once

#include "berylreach/model/host_list.h"

namespace berylreach::model {

/// A host list that the sender considers newest.
struct HostListUpdate {
  HostList list;

  friend bool operator==(const HostListUpdate&,
                         const HostListUpdate&) = default;
};

}  // namespace berylreach::model
