// JSON form of the membership record.
#pragma once

#include <string>
#include <string_view>

#include "berylreach/config/parsed.h"
#include "berylreach/model/head_record.h"

namespace berylreach::config {

/// JSON with the field names of model::HeadRecord; times in Unix milliseconds,
/// nonces and incarnations as 16-digit hexadecimal strings.
std::string EncodeHeadRecord(const model::HeadRecord& record);

/// Reads the form of EncodeHeadRecord. Unknown members are ignored because a
/// newer host may have written the record.
Parsed<model::HeadRecord> DecodeHeadRecord(std::string_view bytes);

}  // namespace berylreach::config
