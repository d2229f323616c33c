// Upper bound of the size of a record as JSON.
#include "record_size.h"

#include <string_view>

namespace berylreach::orders {
namespace {

/// Field names, quotes, separators, numbers and the longest state name of a
/// record take about 240 bytes together.
constexpr std::size_t kFixedBytes = 256;

/// Length of an escape sequence such as \u001f.
constexpr std::size_t kUnicodeEscapeBytes = 6;

std::size_t EscapedSize(std::string_view text) {
  std::size_t size = 0;
  for (const char c : text) {
    if (c == '"' || c == '\\') {
      size += 2;
    } else if (static_cast<unsigned char>(c) < 0x20) {
      size += kUnicodeEscapeBytes;
    } else {
      ++size;
    }
  }
  return size;
}

}  // namespace

std::size_t RecordSizeBound(const model::OrderRecord& record) {
  return kFixedBytes + EscapedSize(record.service.value) +
         EscapedSize(record.key) + EscapedSize(record.claimer.value) +
         EscapedSize(record.outcome);
}

}  // namespace berylreach::orders
