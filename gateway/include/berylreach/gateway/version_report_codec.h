// JSON encoding of the reports by which hosts tell each other what the versions
// of a service under a shift have answered.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "berylreach/forward/version_shift.h"

namespace berylreach::gateway {

/// Path of the request `POST /berylreach/version-report`, whose body is an
/// encoded report and whose response is an encoded answer.
inline constexpr std::string_view kVersionReportPath =
    "/berylreach/version-report";

/// Maximum size in bytes of an encoded report.
inline constexpr std::size_t kMaxVersionReportBytes = 65536;

/// Rows that would exceed kMaxVersionReportBytes are left out, the last ones
/// first. The counts of a route's routine answers may then be too low.
std::string FormatVersionReport(const forward::VersionShiftReport& report);
/// Returns nullopt if the text is malformed or too long.
std::optional<forward::VersionShiftReport> ParseVersionReport(
    std::string_view text);

std::string FormatVersionReportAnswer(
    const forward::VersionReportAnswer& answer);
/// Returns nullopt if the text is malformed or too long.
std::optional<forward::VersionReportAnswer> ParseVersionReportAnswer(
    std::string_view text);

}  // namespace berylreach::gateway
