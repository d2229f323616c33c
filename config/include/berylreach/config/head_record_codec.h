// Encodes and decodes the membership record as JSON.
#pragma once

#include <string>
#include <string_view>

#include "berylreach/config/parsed.h"
#include "berylreach/model/head_record.h"

namespace berylreach::config {

/// Encodes a record as JSON with the field names of model::HeadRecord, except
/// that `removed_hosts` is called "departed". Times are in Unix milliseconds;
/// nonces and incarnations are 16-digit hexadecimal strings.
std::string EncodeHeadRecord(const model::HeadRecord& record);

/// Decodes a record encoded by EncodeHeadRecord. Ignores unknown members,
/// because a host of a newer release may have written the record.
Parsed<model::HeadRecord> DecodeHeadRecord(std::string_view bytes);

}  // namespace berylreach::config
