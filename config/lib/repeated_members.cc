// Finds members that occur twice in one JSON object.
#include "repeated_members.h"

#include <boost/json/basic_parser_impl.hpp>
#include <limits>
#include <set>
#include <string>
#include <vector>

#include "berylreach/config/bounds.h"
#include "json_input.h"

namespace berylreach::config {
namespace {

/// Receives the events of json::basic_parser, whose interface fixes the names.
class RepeatedMemberHandler {
 public:
  static constexpr std::size_t max_object_size =
      std::numeric_limits<std::size_t>::max();
  static constexpr std::size_t max_array_size =
      std::numeric_limits<std::size_t>::max();
  static constexpr std::size_t max_key_size =
      std::numeric_limits<std::size_t>::max();
  static constexpr std::size_t max_string_size =
      std::numeric_limits<std::size_t>::max();

  explicit RepeatedMemberHandler(base::Findings& findings)
      : findings_(findings) {}

  bool on_document_begin(json::error_code&) { return true; }
  bool on_document_end(json::error_code&) { return true; }
  bool on_object_begin(json::error_code&) { return Open(true); }
  bool on_object_end(std::size_t, json::error_code&) { return Close(); }
  bool on_array_begin(json::error_code&) { return Open(false); }
  bool on_array_end(std::size_t, json::error_code&) { return Close(); }
  bool on_key_part(json::string_view part, std::size_t, json::error_code&) {
    key_.append(part.data(), part.size());
    return true;
  }
  bool on_key(json::string_view part, std::size_t, json::error_code&) {
    key_.append(part.data(), part.size());
    AddKey();
    return true;
  }
  bool on_string_part(json::string_view, std::size_t, json::error_code&) {
    return true;
  }
  bool on_string(json::string_view, std::size_t, json::error_code&) {
    return EndValue();
  }
  bool on_number_part(json::string_view, json::error_code&) { return true; }
  bool on_int64(std::int64_t, json::string_view, json::error_code&) {
    return EndValue();
  }
  bool on_uint64(std::uint64_t, json::string_view, json::error_code&) {
    return EndValue();
  }
  bool on_double(double, json::string_view, json::error_code&) {
    return EndValue();
  }
  bool on_bool(bool, json::error_code&) { return EndValue(); }
  bool on_null(json::error_code&) { return EndValue(); }
  bool on_comment_part(json::string_view, json::error_code&) { return true; }
  bool on_comment(json::string_view, json::error_code&) { return true; }

 private:
  /// An object or array that is being read.
  struct Level {
    bool is_object = false;
    std::set<std::string> keys;
    /// Member or element that is being read.
    std::string key;
    std::size_t index = 0;
  };

  bool Open(bool is_object) {
    levels_.push_back({is_object, {}, {}, 0});
    return true;
  }

  bool Close() {
    levels_.pop_back();
    return EndValue();
  }

  bool EndValue() {
    if (!levels_.empty()) ++levels_.back().index;
    return true;
  }

  void AddKey() {
    Level& level = levels_.back();
    level.key = std::move(key_);
    key_.clear();
    if (!level.keys.insert(level.key).second)
      findings_.push_back({Place(), "occurs more than once"});
  }

  std::string Place() const {
    std::string place;
    for (const Level& level : levels_) {
      place = level.is_object ? ChildPlace(place, level.key)
                              : ChildPlace(place, level.index);
    }
    return place;
  }

  base::Findings& findings_;
  std::vector<Level> levels_;
  std::string key_;
};

/// Members in all objects of a value.
std::size_t CountMembers(const json::value& value) {
  std::size_t count = 0;
  if (const json::array* array = value.if_array()) {
    for (const json::value& item : *array) count += CountMembers(item);
  } else if (const json::object* object = value.if_object()) {
    count = object->size();
    for (const auto& member : *object) count += CountMembers(member.value());
  }
  return count;
}

/// Place of the quote that ends the string that begins at `start`.
std::size_t EndOfString(std::string_view text, std::size_t start) {
  std::size_t end = text.find('"', start + 1);
  while (end != std::string_view::npos) {
    // The quote is escaped if an odd number of backslashes stands before it.
    std::size_t first = end;
    while (text[first - 1] == '\\') --first;
    if ((end - first) % 2 == 0) return end;
    end = text.find('"', end + 1);
  }
  return text.size();
}

/// Members that a valid text writes: each has one colon outside of strings.
std::size_t CountMembers(std::string_view text) {
  std::size_t count = 0;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == ':') ++count;
    if (text[i] == '"') i = EndOfString(text, i);
  }
  return count;
}

}  // namespace

bool RejectRepeatedMembers(std::string_view text, const json::value& value,
                           base::Findings& findings) {
  // Finding the places takes a second parse, which few texts need.
  if (CountMembers(text) == CountMembers(value)) return true;
  const std::size_t before = findings.size();
  json::parse_options options;
  options.max_depth = kMaxDepth;
  json::basic_parser<RepeatedMemberHandler> parser(options, findings);
  json::error_code error;
  parser.write_some(false, text.data(), text.size(), error);
  return !error && findings.size() == before;
}

}  // namespace berylreach::config
