// Fuzzes the parsers of caller request and reply bodies.
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "berylreach/config/bounds.h"
#include "berylreach/config/caller_reply_codec.h"
#include "berylreach/config/caller_request_codec.h"

namespace berylreach::config {
namespace {

/// An accepted request must be unchanged after it is encoded and parsed again;
/// a refusal must be encoded in a form that clients can parse.
void CheckRoundTrip(model::RequestKind kind, std::string_view body) {
  const base::TimePoint now{};
  const model::CallId id{1, 2};
  const auto parsed = ParseCallerRequest(kind, body, id, now);
  if (const auto* refusal = std::get_if<model::Refusal>(&parsed)) {
    if (ParseCallerReply(EncodeCallerReply(*refusal)).value !=
        model::CallerReply(*refusal))
      std::abort();
    return;
  }
  const auto& request = std::get<model::CallerRequest>(parsed);
  const std::string encoded = EncodeCallerRequest(request, now);
  // The encoded request may exceed the size limit, because serialized numbers
  // can be longer than they were in the caller's body.
  if (encoded.size() > kMaxCallerBodyBytes) return;
  if (ParseCallerRequest(kind, encoded, id, now) != parsed) std::abort();
}

}  // namespace
}  // namespace berylreach::config

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  if (size == 0) return 0;
  const auto kind = static_cast<berylreach::model::RequestKind>(data[0] % 3);
  berylreach::config::CheckRoundTrip(
      kind, {reinterpret_cast<const char*>(data) + 1, size - 1});
  return 0;
}
