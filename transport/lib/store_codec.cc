// Formats and parses HTTP messages of the Consul KV API.
#include "store_codec.h"

#include <boost/json.hpp>
#include <charconv>
#include <utility>

#include "berylreach/base/percent_encoding.h"
#include "berylreach/config/base64.h"
#include "client_connection.h"

namespace berylreach::transport {
namespace {

namespace json = boost::json;

constexpr int kOk = 200;
constexpr int kNotFound = 404;

/// Reads the value and revision of the single entry in the answer to a read;
/// false if the answer is invalid.
bool ReadEntry(const std::string& body, model::StoreResult& result) {
  boost::system::error_code error;
  const json::value document = json::parse(body, error);
  if (error || !document.is_array() || document.get_array().size() != 1)
    return false;
  const json::object* entry = document.get_array()[0].if_object();
  if (entry == nullptr) return false;
  const json::value* value = entry->if_contains("Value");
  const json::value* revision = entry->if_contains("ModifyIndex");
  if (value == nullptr || revision == nullptr) return false;
  result.revision = revision->to_number<std::uint64_t>(error);
  if (error) return false;
  // The store returns an empty value as null.
  if (value->is_null()) return true;
  if (!value->is_string()) return false;
  auto bytes = config::DecodeBase64(value->get_string());
  if (!bytes) return false;
  result.value = std::move(*bytes);
  return true;
}

std::uint64_t ParseIndex(const std::string& text) {
  std::uint64_t index = 0;
  std::from_chars(text.data(), text.data() + text.size(), index);
  return index;
}

}  // namespace

std::string FormatStoreRequest(const model::StoreRequest& request,
                               const std::string& host) {
  std::string target = "/v1/kv/" + base::PercentEncode(request.key);
  switch (request.operation) {
    case model::StoreOperation::kCompareAndSwap:
      target += "?cas=" + std::to_string(request.revision);
      return FormatRequest("PUT", target, host, request.value);
    case model::StoreOperation::kWatch:
      target += "?index=" + std::to_string(request.revision) +
                "&wait=" + std::to_string(request.max_wait.count()) + "ms";
      break;
    case model::StoreOperation::kRead:
      break;
  }
  return FormatRequest("GET", target, host, {});
}

model::StoreResult ParseStoreAnswer(const model::StoreRequest& request,
                                    int status, const std::string& index,
                                    const std::string& body) {
  model::StoreResult result;
  result.id = request.id;
  if (request.operation == model::StoreOperation::kCompareAndSwap) {
    if (status != kOk) return result;
    if (body.starts_with("true")) result.outcome = model::StoreOutcome::kOk;
    if (body.starts_with("false"))
      result.outcome = model::StoreOutcome::kConflict;
    return result;
  }
  if (status == kNotFound) {
    result.outcome = model::StoreOutcome::kAbsent;
    result.revision = ParseIndex(index);
  } else if (status == kOk && ReadEntry(body, result)) {
    result.outcome = model::StoreOutcome::kOk;
  }
  return result;
}

}  // namespace berylreach::transport
