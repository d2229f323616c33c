// Client of the platform's key-value store.
#include "berylreach/berylctl/store_client.h"

#include <boost/json.hpp>
#include <utility>

#include "berylreach/config/base64.h"

namespace berylreach::berylctl {
namespace {

namespace json = boost::json;

constexpr unsigned kOkStatus = 200;
constexpr unsigned kNotFoundStatus = 404;

std::string Target(std::string_view key) {
  return "/v1/kv/" + std::string(key);
}

/// Parses the response to a read, an array with one entry; nothing if it has
/// another form.
std::optional<StoreValue> ParseEntry(std::string_view body) {
  json::error_code error;
  const json::value value =
      json::parse(json::string_view(body.data(), body.size()), error);
  const json::array* entries = value.if_array();
  if (error || entries == nullptr || entries->size() != 1) return std::nullopt;
  const json::object* entry = entries->front().if_object();
  if (entry == nullptr) return std::nullopt;
  const json::value* bytes = entry->if_contains("Value");
  const json::value* revision = entry->if_contains("ModifyIndex");
  if (bytes == nullptr || !bytes->is_string() || revision == nullptr)
    return std::nullopt;
  const auto index = revision->to_number<std::uint64_t>(error);
  const json::string& text = bytes->get_string();
  auto decoded = config::DecodeBase64({text.data(), text.size()});
  if (!decoded || error) return std::nullopt;
  return StoreValue{std::move(*decoded), index};
}

/// Whether `body`, without trailing white space, equals `wanted`.
bool TrimmedEquals(std::string_view body, std::string_view wanted) {
  return body.substr(0, body.find_last_not_of(" \r\n") + 1) == wanted;
}

}  // namespace

StoreClient::StoreClient(HttpClient& http, std::string address)
    : http_(http), address_(std::move(address)) {}

Result<StoreValue> StoreClient::Read(std::string_view key) {
  const auto response = http_.Send({address_, "GET", Target(key), ""});
  if (!response)
    return Failure{ExitCode::kStoreUnreachable,
                   "the store at " + address_ + " does not answer"};
  if (response->status == kNotFoundStatus) return StoreValue{};
  auto value =
      response->status == kOkStatus ? ParseEntry(response->body) : std::nullopt;
  if (!value)
    return Failure{ExitCode::kStoreUnreachable,
                   "the store at " + address_ + " answers a read with status " +
                       std::to_string(response->status) + " and no value"};
  return std::move(*value);
}

SwapOutcome StoreClient::CompareAndSwap(std::string_view key, std::string value,
                                        std::uint64_t revision) {
  const auto response = http_.Send(
      {address_, "PUT", Target(key) + "?cas=" + std::to_string(revision),
       std::move(value)});
  if (!response || response->status != kOkStatus) return SwapOutcome::kUnknown;
  if (TrimmedEquals(response->body, "true")) return SwapOutcome::kApplied;
  if (TrimmedEquals(response->body, "false")) return SwapOutcome::kConflict;
  return SwapOutcome::kUnknown;
}

}  // namespace berylreach::berylctl
