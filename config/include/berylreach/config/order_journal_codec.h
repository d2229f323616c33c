// Encodes and decodes order journals as JSON.
#pragma once

#include <string>
#include <string_view>

#include "berylreach/config/parsed.h"
#include "berylreach/model/order_journal.h"

namespace berylreach::config {

/// Encodes a journal as JSON with the field names of model::OrderRecord. Times
/// are in Unix milliseconds, so `issued_at` is rounded down to a millisecond;
/// nonces, incarnations and hashes are 16-digit hexadecimal strings.
std::string EncodeOrderJournal(const model::OrderJournal& journal);

/// Decodes a journal encoded by EncodeOrderJournal. Ignores unknown members,
/// because a host of a newer release may have written the journal.
Parsed<model::OrderJournal> DecodeOrderJournal(std::string_view bytes);

}  // namespace berylreach::config
