// Parses and encodes the JSON bodies of answers from leaves.
#pragma once

#include <chrono>
#include <string>
#include <string_view>

#include "berylreach/config/parsed.h"
#include "berylreach/model/call_id.h"
#include "berylreach/model/upstream_call.h"
#include "berylreach/model/upstream_result.h"

namespace berylreach::config {

/// Parses the answer to `POST /v1/call`. The outcome is kOk for status 200,
/// kVersionGone for 409, and kShed, kDraining or kNotSent for 503 with
/// `"not_run": true`. A 503 without `"not_run": true` proves only that the call
/// has ended, so its outcome is kLost and `call_ended` is set. Any other status
/// is a finding. `leaf` is empty unless the status is 200. The incarnation may
/// be a 16-digit hexadecimal string or a number; it is required for status 200
/// only. Ignores unknown members.
Parsed<model::UpstreamResult> ParseLeafAnswer(unsigned http_status,
                                              std::string_view body);

/// Whether an answer matches `call`. Compares the id and, for kOk, also
/// leaf, shard and version. The version is not compared if that of the call is
/// 0.
bool MatchesCall(const model::UpstreamResult& result,
                 const model::UpstreamCall& call);

/// Encodes the body that ParseLeafAnswer parses. Used by leaf stand-ins.
/// Returns an empty string for all outcomes but kOk, kVersionGone, kShed and
/// kDraining.
std::string EncodeLeafAnswer(const model::UpstreamResult& result);

/// A refusal from a leaf: the error, whether the call is proven not to have
/// run, and the delay after which to retry. Used by leaf stand-ins.
struct LeafRefusal {
  model::CallId id;
  std::string error;
  bool not_run = false;
  std::chrono::milliseconds retry_after{0};
};

/// JSON body of a refusal. ParseLeafAnswer accepts the errors "shedding",
/// "draining", "cancelled" and "deadline_exceeded" as proof that the call did
/// not run.
std::string EncodeLeafRefusal(const LeafRefusal& refusal);

}  // namespace berylreach::config
