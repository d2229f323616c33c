// Action: a compare-and-swap of the head record.
#pragma once

#include <cstdint>

#include "berylreach/model/head_record.h"

namespace berylreach::membership {

/// Replaces the head record if its revision is still `revision`; revision 0
/// creates the record. The result goes to Membership::OnHeadCas with the same
/// `id`.
struct CasHead {
  std::uint64_t id = 0;
  std::uint64_t revision = 0;
  model::HeadRecord record;

  friend bool operator==(const CasHead&, const CasHead&) = default;
};

}  // namespace berylreach::membership
