// Reads and validates the members of a JSON object.
#include "object_reader.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "berylreach/config/address.h"
#include "berylreach/config/bounds.h"

namespace berylreach::config {
namespace {

constexpr std::size_t kHexDigits = 16;

std::string RangeText(std::uint64_t min, std::uint64_t max) {
  return std::to_string(min) + " to " + std::to_string(max);
}

bool IsAlphanumeric(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9');
}

bool IsName(std::string_view text) {
  if (text.empty() || text.size() > kMaxNameBytes) return false;
  if (!IsAlphanumeric(text.front())) return false;
  return std::all_of(text.begin(), text.end(), [](char c) {
    return IsAlphanumeric(c) || c == '.' || c == '_' || c == '-';
  });
}

bool ParseHex(std::string_view text, std::uint64_t& value) {
  if (text.size() != kHexDigits) return false;
  const char* end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, value, 16);
  return result.ec == std::errc() && result.ptr == end;
}

bool ToUnsigned(const json::value& value, std::uint64_t& number) {
  if (value.is_uint64()) {
    number = value.get_uint64();
    return true;
  }
  if (!value.is_int64() || value.get_int64() < 0) return false;
  number = static_cast<std::uint64_t>(value.get_int64());
  return true;
}

}  // namespace

ObjectReader::ObjectReader(const json::value& value, std::string location,
                           base::Findings& findings)
    : object_(value.if_object()),
      location_(std::move(location)),
      findings_(findings) {
  if (object_ == nullptr) findings_.push_back({location_, "must be an object"});
}

std::string ObjectReader::Location(std::string_view name) const {
  return ChildLocation(location_, name);
}

void ObjectReader::AddFinding(std::string_view name, std::string message) {
  findings_.push_back({Location(name), std::move(message)});
}

const json::value* ObjectReader::Find(std::string_view name) {
  known_names_.push_back(name);
  if (object_ == nullptr) return nullptr;
  return object_->if_contains(json::string_view(name.data(), name.size()));
}

bool ObjectReader::Has(std::string_view name) { return Find(name) != nullptr; }

const json::value* ObjectReader::Require(std::string_view name) {
  const json::value* value = Find(name);
  if (value == nullptr && object_ != nullptr) AddFinding(name, "is missing");
  return value;
}

const json::string* ObjectReader::RequireString(std::string_view name) {
  const json::value* value = Require(name);
  if (value == nullptr) return nullptr;
  if (!value->is_string()) AddFinding(name, "must be a string");
  return value->if_string();
}

std::string ObjectReader::Text(std::string_view name, std::size_t max_bytes) {
  const json::string* text = RequireString(name);
  if (text == nullptr) return {};
  if (text->size() > max_bytes) {
    AddFinding(name,
               "must have at most " + std::to_string(max_bytes) + " bytes");
    return {};
  }
  return std::string(text->data(), text->size());
}

std::string ObjectReader::NonEmptyText(std::string_view name,
                                       std::size_t max_bytes) {
  const json::string* text = RequireString(name);
  if (text == nullptr) return {};
  if (text->empty() || text->size() > max_bytes) {
    AddFinding(name, "must have " + RangeText(1, max_bytes) + " bytes");
    return {};
  }
  return std::string(text->data(), text->size());
}

std::string ObjectReader::Name(std::string_view name) {
  const json::string* text = RequireString(name);
  if (text == nullptr) return {};
  if (!IsName({text->data(), text->size()})) {
    AddFinding(name,
               "must be 1 to " + std::to_string(kMaxNameBytes) +
                   " letters, digits, '.', '_' or '-', starting with a letter "
                   "or digit");
    return {};
  }
  return std::string(text->data(), text->size());
}

std::string ObjectReader::IpAddress(std::string_view name,
                                    bool allow_any_port) {
  const json::string* text = RequireString(name);
  if (text == nullptr) return {};
  const auto address = ParseAddress({text->data(), text->size()});
  if (!address || (address->port == 0 && !allow_any_port)) {
    AddFinding(name,
               "must be an IP address and a port, such as \"10.0.0.7:8080\"");
    return {};
  }
  return std::string(text->data(), text->size());
}

std::int64_t ObjectReader::Int64(std::string_view name, std::int64_t min,
                                 std::int64_t max) {
  const json::value* value = Require(name);
  if (value == nullptr) return 0;
  if (value->is_int64() && value->get_int64() >= min &&
      value->get_int64() <= max)
    return value->get_int64();
  AddFinding(name, "must be an integer from " + std::to_string(min) + " to " +
                       std::to_string(max));
  return 0;
}

std::uint32_t ObjectReader::Uint32(std::string_view name, std::uint32_t min,
                                   std::uint32_t max) {
  const json::value* value = Require(name);
  if (value == nullptr) return 0;
  std::uint64_t number = 0;
  if (ToUnsigned(*value, number) && number >= min && number <= max)
    return static_cast<std::uint32_t>(number);
  AddFinding(name, "must be an integer from " + RangeText(min, max));
  return 0;
}

std::uint64_t ObjectReader::Uint64(std::string_view name) {
  const json::value* value = Require(name);
  std::uint64_t number = 0;
  if (value != nullptr && !ToUnsigned(*value, number))
    AddFinding(name, "must be an unsigned integer");
  return number;
}

std::uint64_t ObjectReader::Hex(std::string_view name) {
  const json::value* value = Require(name);
  if (value == nullptr) return 0;
  const json::string* text = value->if_string();
  std::uint64_t number = 0;
  if (text != nullptr && ParseHex({text->data(), text->size()}, number))
    return number;
  AddFinding(name, "must be a string of 16 hexadecimal digits");
  return 0;
}

std::uint64_t ObjectReader::HexOrUint64(std::string_view name) {
  std::uint64_t number = 0;
  const json::value* value = Find(name);
  if (value != nullptr && ToUnsigned(*value, number)) return number;
  return Hex(name);
}

double ObjectReader::Fraction(std::string_view name, double min, double max) {
  const json::value* value = Require(name);
  if (value == nullptr) return 0;
  const double number = value->is_number() ? value->to_number<double>() : -1;
  if (value->is_number() && number >= min && number <= max) return number;
  AddFinding(name, "must be a number from " +
                       std::to_string(static_cast<int>(min)) + " to " +
                       std::to_string(static_cast<int>(max)));
  return 0;
}

bool ObjectReader::Bool(std::string_view name) {
  const json::value* value = Require(name);
  if (value == nullptr) return false;
  if (!value->is_bool()) AddFinding(name, "must be true or false");
  return value->is_bool() && value->get_bool();
}

std::chrono::system_clock::time_point ObjectReader::Time(
    std::string_view name) {
  return std::chrono::system_clock::time_point(std::chrono::milliseconds(
      Int64(name, 0, static_cast<std::int64_t>(kMaxExactInteger / 1000))));
}

std::string ObjectReader::AnyValue(std::string_view name) {
  const json::value* value = Require(name);
  return value == nullptr ? std::string() : json::serialize(*value);
}

std::size_t ObjectReader::OneOf(std::string_view name,
                                const std::vector<std::string_view>& names) {
  const json::string* text = RequireString(name);
  if (text == nullptr) return names.size();
  const std::string_view wanted(text->data(), text->size());
  const auto found = std::find(names.begin(), names.end(), wanted);
  if (found == names.end()) {
    std::string list;
    for (const std::string_view each : names)
      list += (list.empty() ? "\"" : ", \"") + std::string(each) + "\"";
    AddFinding(name, "must be one of " + list);
  }
  return static_cast<std::size_t>(found - names.begin());
}

void ObjectReader::ForEachElement(
    std::string_view name, std::size_t min, std::size_t max,
    const std::function<void(const json::value&, const std::string&)>& read) {
  const json::value* value = Require(name);
  if (value == nullptr) return;
  const json::array* array = value->if_array();
  if (array == nullptr) return AddFinding(name, "must be an array");
  if (array->size() < min || array->size() > max)
    AddFinding(name, "must have " + RangeText(min, max) + " entries");
  if (array->size() > max) return;
  const std::string location = Location(name);
  for (std::size_t i = 0; i < array->size(); ++i)
    read((*array)[i], ChildLocation(location, i));
}

void ObjectReader::Member(
    std::string_view name,
    const std::function<void(const json::value&, const std::string&)>& read) {
  const json::value* value = Require(name);
  if (value != nullptr) read(*value, Location(name));
}

std::vector<model::Holding> ObjectReader::Holdings(std::string_view name) {
  std::vector<model::Holding> result;
  ForEachElement(
      name, 0, kMaxHoldings,
      [&](const json::value& value, const std::string& location) {
        ObjectReader reader(value, location, findings_);
        model::Holding holding;
        holding.version = reader.Uint64("version");
        holding.shard = reader.Uint32("shard");
        holding.shard_count = reader.Uint32("shard_count", 1, kMaxShards);
        if (holding.shard_count != 0 && holding.shard >= holding.shard_count)
          reader.AddFinding("shard", "must be below shard_count");
        result.push_back(holding);
      });
  return result;
}

void ObjectReader::RejectUnknown() {
  if (object_ == nullptr) return;
  for (const auto& member : *object_) {
    const std::string_view key(member.key().data(), member.key().size());
    if (std::find(known_names_.begin(), known_names_.end(), key) ==
        known_names_.end())
      AddFinding(key, "is unknown");
  }
}

}  // namespace berylreach::config
