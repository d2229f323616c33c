// Output of findings, differences and failures. Private to the package.
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

/// "2026-01-01T00:00:00.000000Z".
std::string FormatTime(std::chrono::system_clock::time_point at);

/// `text` with control characters replaced, since it may come from other
/// processes and goes to a terminal.
std::string Printable(std::string_view text);

json::object ToJson(const model::DocumentRef& document);
json::array ToJson(const base::Findings& findings);
json::array ToJson(const std::vector<config::DocumentChange>& changes);
json::object ToJson(const Failure& failure);

/// One line for each change: '+', '-' or '~', subject, values and place.
void PrintChanges(const std::vector<config::DocumentChange>& changes,
                  std::ostream& out);

/// The failure with its findings, changes and hosts, one line each.
void PrintFailure(const Failure& failure, std::ostream& out);

/// One JSON value on a line of its own.
void PrintJson(const json::value& value, std::ostream& out);

}  // namespace berylreach::berylctl
