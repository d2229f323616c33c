// Formatting of findings, changes and failures as text and JSON. Private to the
// package.
#pragma once

#include <boost/json.hpp>
#include <chrono>
#include <ostream>
#include <string>
#include <string_view>
#include <vector>

#include "berylreach/base/finding.h"
#include "berylreach/berylctl/failure.h"
#include "berylreach/config/document_change.h"
#include "berylreach/model/document_ref.h"

namespace berylreach::berylctl {

namespace json = boost::json;

/// Formats a time in UTC with microseconds, as in
/// "2026-01-01T00:00:00.000000Z".
std::string FormatTime(std::chrono::system_clock::time_point at);

/// Replaces control characters in `text` by question marks: texts of other
/// processes must not control the operator's terminal.
std::string Printable(std::string_view text);

json::object ToJson(const model::DocumentRef& document);
json::array ToJson(const base::Findings& findings);
json::array ToJson(const std::vector<config::DocumentChange>& changes);
json::object ToJson(const Failure& failure);

/// Prints one line for each change: '+' (added), '-' (removed) or '~'
/// (changed), then subject, values and location.
void PrintChanges(const std::vector<config::DocumentChange>& changes,
                  std::ostream& out);

/// Prints the message of the failure, then its findings, changes and hosts, one
/// line each.
void PrintFailure(const Failure& failure, std::ostream& out);

/// Prints a JSON value on one line.
void PrintJson(const json::value& value, std::ostream& out);

}  // namespace berylreach::berylctl
