// JSON bodies of answers of leaves.
#pragma once

#include <string>
#include <string_view>

#include "berylreach/config/parsed.h"
#include "berylreach/model/upstream_call.h"
#include "berylreach/model/upstream_result.h"

namespace berylreach::config {

/// Parses the answer to `POST /v1/call`. Status 200 gives kOk, 409
/// kVersionGone, 503 kShed or kDraining; a 503 without `"not_run": true` and
/// any other status are findings. `leaf` is empty unless the status is 200. The
/// incarnation may be a 16-digit hexadecimal string or a number. Unknown
/// members are ignored.
Parsed<model::UpstreamResult> ParseLeafAnswer(unsigned http_status,
                                              std::string_view body);

/// Whether an answer belongs to `call`: the id, and for kOk also leaf, shard
/// and version, which is not compared if the call names version 0.
bool BelongsTo(const model::UpstreamResult& result,
               const model::UpstreamCall& call);

/// The body that ParseLeafAnswer reads, for fakes of leaves. Outcomes other
/// than kOk, kVersionGone, kShed and kDraining have no body and give an empty
/// string.
std::string EncodeLeafAnswer(const model::UpstreamResult& result);

}  // namespace berylreach::config
