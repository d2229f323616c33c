// A small valid document for tests.
#pragma once

#include "berylreach/model/environment.h"

namespace berylreach::config {

/// Two zones and two services, in canonical order.
inline model::Environment SampleDocument() {
  using model::RequestKind;
  using model::ZoneState;
  model::Environment document;
  document.name = "sample";
  document.zones = {{{"a"}, "north", ZoneState::kInService},
                    {{"b"}, "south", ZoneState::kInService}};
  document.services = {{{"desk"},
                        0,
                        2,
                        {RequestKind::kQuery},
                        {{{"desk-0"}, "127.0.0.1:1", {"a"}, 2, 25},
                         {{"desk-1"}, "127.0.0.1:2", {"b"}, 2, 25}}},
                       {{"ledger"},
                        1,
                        1,
                        {RequestKind::kLookup, RequestKind::kOrder},
                        {{{"ledger-0"}, "127.0.0.1:3", {"a"}, 4, 100}}}};
  return document;
}

}  // namespace berylreach::config
