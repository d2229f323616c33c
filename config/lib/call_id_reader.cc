// Reads call ids from JSON objects.
#include "call_id_reader.h"

namespace berylreach::config {
namespace {

/// Length of a call id in text form: two 16-digit numbers and the '-'.
constexpr std::size_t kCallIdBytes = 33;

}  // namespace

model::CallId ReadCallId(ObjectReader& reader, std::string_view name) {
  const std::string text = reader.NonEmptyText(name, kCallIdBytes);
  const auto id = model::ParseCallId(text);
  if (!id && !text.empty())
    reader.AddFinding(name,
                      "must be two 16-digit hexadecimal numbers joined by '-'");
  return id.value_or(model::CallId{});
}

}  // namespace berylreach::config
