// The final reply to a caller.
#pragma once

#include <variant>

#include "berylreach/model/answer.h"
#include "berylreach/model/refusal.h"

namespace berylreach::model {

/// Either an answer or a refusal.
using CallerReply = std::variant<Answer, Refusal>;

}  // namespace berylreach::model
