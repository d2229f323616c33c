// Fuzzes the parsers of documents, manifests and stored records.
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>
#include <vector>

#include "berylreach/config/document.h"
#include "berylreach/config/document_parts.h"
#include "berylreach/config/head_record_codec.h"
#include "berylreach/config/order_journal_codec.h"

namespace berylreach::config {
namespace {

/// A valid document must be unchanged after it is split into parts and
/// assembled again.
void CheckDocumentRoundTrip(std::string_view bytes) {
  const auto parsed = ParseDocument(bytes);
  if (parsed.value.has_value() != parsed.findings.empty()) std::abort();
  if (!parsed.value) return;
  const auto split = SplitDocument(bytes);
  std::vector<std::string> parts;
  for (const DocumentPart& part : split.value.value().parts)
    parts.push_back(part.bytes);
  const auto assembled = AssembleDocument(split.value->manifest.bytes, parts);
  if (assembled.value != EncodeDocument(*parsed.value)) std::abort();
}

/// A valid record must be unchanged after it is encoded and decoded again.
template <typename Decode, typename Encode>
void CheckRecordRoundTrip(std::string_view bytes, Decode decode,
                          Encode encode) {
  const auto decoded = decode(bytes);
  if (decoded.value && decode(encode(*decoded.value)).value != decoded.value)
    std::abort();
}

}  // namespace
}  // namespace berylreach::config

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  using namespace berylreach::config;
  const std::string_view bytes(reinterpret_cast<const char*>(data), size);
  CheckDocumentRoundTrip(bytes);
  ListPartHashes(bytes);
  CheckRecordRoundTrip(bytes, DecodeHeadRecord, EncodeHeadRecord);
  CheckRecordRoundTrip(bytes, DecodeOrderJournal, EncodeOrderJournal);
  return 0;
}
