// JSON bodies of answers of leaves.
#pragma once

#include <chrono>
#include <string>
#include <string_view>

#include "berylreach/config/parsed.h"
#include "berylreach/model/call_id.h"
#include "berylreach/model/upstream_call.h"
#include "berylreach/model/upstream_result.h"

namespace berylreach::config {

/// Parses the answer to `POST /v1/call`. Status 200 gives kOk, 409
/// kVersionGone, 503 with `"not_run": true` kShed, kDraining or kNotSent. A 503
/// without it proves nothing but the end of the call: kLost with `ended`. Any
/// other status is a finding. `leaf` is empty unless the status is 200. The
/// incarnation may be a 16-digit hexadecimal string or a number; only a 200
/// must have one. Unknown members are ignored.
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

/// A refusal of a leaf, for fakes of leaves: the error, whether the call is
/// proven not to have run, and when to come back.
struct LeafRefusal {
  model::CallId id;
  std::string error;
  bool not_run = false;
  std::chrono::milliseconds retry_after{0};
};

/// Body of a refusal. ParseLeafAnswer reads the errors "shedding", "draining",
/// "cancelled" and "deadline_exceeded".
std::string EncodeLeafRefusal(const LeafRefusal& refusal);

}  // namespace berylreach::config
