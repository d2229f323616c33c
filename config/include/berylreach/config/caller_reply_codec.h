// JSON bodies of replies to callers.
#pragma once

#include <string>
#include <string_view>

#include "berylreach/config/parsed.h"
#include "berylreach/model/caller_reply.h"

namespace berylreach::config {

/// Body of an answer or a refusal. Each entry of `results` is
/// `{"shard","result"}`; the results of leaves are embedded unchanged.
std::string EncodeCallerReply(const model::CallerReply& reply);

/// HTTP status of the reply: 200 for an answer, 4xx or 5xx for a refusal.
unsigned HttpStatus(const model::CallerReply& reply);

/// Reads the form of EncodeCallerReply, for clients and tests.
Parsed<model::CallerReply> ParseCallerReply(std::string_view body);

/// "not_run", "may_have_run" or "ran".
std::string_view ToString(model::Ran ran);

}  // namespace berylreach::config
