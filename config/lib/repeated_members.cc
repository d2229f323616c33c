// Finds members that occur more than once in one JSON object.
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

/// Event handler for json::basic_parser, which prescribes the names of the
/// public members. Adds a finding for each repeated member.
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
  bool on_object_begin(json::error_code&) { return BeginLevel(true); }
  bool on_object_end(std::size_t, json::error_code&) { return EndLevel(); }
  bool on_array_begin(json::error_code&) { return BeginLevel(false); }
  bool on_array_end(std::size_t, json::error_code&) { return EndLevel(); }
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
  /// An object or array that is being parsed.
  struct Level {
    bool is_object = false;
    /// Keys of the object that have occurred so far.
    std::set<std::string> keys;
    /// Key of the member that is being parsed; objects only.
    std::string key;
    /// Index of the element that is being parsed; arrays only.
    std::size_t index = 0;
  };

  bool BeginLevel(bool is_object) {
    levels_.push_back({is_object, {}, {}, 0});
    return true;
  }

  bool EndLevel() {
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
      findings_.push_back({Location(), "occurs more than once"});
  }

  /// JSON pointer to the value that is being parsed.
  std::string Location() const {
    std::string location;
    for (const Level& level : levels_) {
      location = level.is_object ? ChildLocation(location, level.key)
                                 : ChildLocation(location, level.index);
    }
    return location;
  }

  base::Findings& findings_;
  /// The enclosing objects and arrays, outermost first.
  std::vector<Level> levels_;
  /// The part of the current key that has been parsed.
  std::string key_;
};

/// Number of members in all objects of `value`.
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

/// Index of the closing quote of the JSON string whose opening quote is at
/// `start`.
std::size_t FindClosingQuote(std::string_view text, std::size_t start) {
  std::size_t end = text.find('"', start + 1);
  while (end != std::string_view::npos) {
    // The quote is escaped if it follows an odd number of backslashes.
    std::size_t first = end;
    while (text[first - 1] == '\\') --first;
    if ((end - first) % 2 == 0) return end;
    end = text.find('"', end + 1);
  }
  return text.size();
}

/// Number of members in all objects of `text`, including repeated ones. `text`
/// must be valid JSON, in which each member has one colon outside of strings.
std::size_t CountMembers(std::string_view text) {
  std::size_t count = 0;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == ':') ++count;
    if (text[i] == '"') i = FindClosingQuote(text, i);
  }
  return count;
}

}  // namespace

bool RejectRepeatedMembers(std::string_view text, const json::value& value,
                           base::Findings& findings) {
  // `value` has only the last of several members with the same name, so the
  // counts differ if there are any. Only then a second parse is needed to find
  // their locations.
  if (CountMembers(text) == CountMembers(value)) return true;
  const std::size_t findings_before = findings.size();
  json::parse_options options;
  options.max_depth = kMaxDepth;
  json::basic_parser<RepeatedMemberHandler> parser(options, findings);
  json::error_code error;
  parser.write_some(false, text.data(), text.size(), error);
  return !error && findings.size() == findings_before;
}

}  // namespace berylreach::config
