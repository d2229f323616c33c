// JSON form of order journals.
#pragma once

#include <string>
#include <string_view>

#include "berylreach/config/parsed.h"
#include "berylreach/model/order_journal.h"

namespace berylreach::config {

/// JSON with the field names of model::OrderRecord; times in Unix milliseconds,
/// nonces, incarnations and hashes as 16-digit hexadecimal strings. `issued_at`
/// is kept to the millisecond.
std::string EncodeOrderJournal(const model::OrderJournal& journal);

/// Reads the form of EncodeOrderJournal. Unknown members are ignored because a
/// newer host may have written the journal.
Parsed<model::OrderJournal> DecodeOrderJournal(std::string_view bytes);

}  // namespace berylreach::config
