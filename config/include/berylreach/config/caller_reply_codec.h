// Encodes and parses the JSON bodies of replies to callers.
#pragma once

#include <string>
#include <string_view>

#include "berylreach/config/parsed.h"
#include "berylreach/model/caller_reply.h"

namespace berylreach::config {

/// JSON body of an answer or a refusal. Each entry of `results` has the form
/// `{"shard","result"}`; the results of the leaves are embedded unchanged.
std::string EncodeCallerReply(const model::CallerReply& reply);

/// HTTP status code of the reply: 200 for an answer, 4xx or 5xx for a refusal.
unsigned HttpStatus(const model::CallerReply& reply);

/// Parses a body encoded by EncodeCallerReply. Used by tests and fuzzers.
Parsed<model::CallerReply> ParseCallerReply(std::string_view body);

/// The name of `execution` in replies: "not_run", "may_have_run" or "ran".
std::string_view ToString(model::ExecutionStatus execution);

}  // namespace berylreach::config
