// Compares two documents by content.
#include "berylreach/config/document_diff.h"

#include <string>
#include <utility>

#include "document_json.h"
#include "json_input.h"

namespace berylreach::config {
namespace {

/// Location of a value in a document.
struct Location {
  /// By position, as a JSON pointer.
  std::string pointer;
  /// By the names of zones, services and leaves.
  std::string subject;

  Location Member(std::string_view name) const {
    const std::string text(name);
    return {ChildLocation(pointer, name),
            subject.empty() ? text : subject + '/' + text};
  }
  Location Element(std::size_t index, std::string_view name) const {
    return {ChildLocation(pointer, index), subject + '/' + std::string(name)};
  }
};

std::string_view NameOf(const json::value& element) {
  const json::string& name = element.as_object().at("name").as_string();
  return {name.data(), name.size()};
}

/// Whether `value` is a list of zones, services or leaves, which have names.
bool IsNamedList(const json::value& value) {
  const json::array* array = value.if_array();
  return array != nullptr && !array->empty() && array->front().is_object();
}

/// Collects the differences of two documents in canonical form, where zones,
/// services and leaves are sorted by name.
class DocumentComparison {
 public:
  std::vector<DocumentChange> TakeChanges() { return std::move(changes_); }

  void Compare(const Location& before_location, const json::value& before,
               const Location& after_location, const json::value& after) {
    if (before == after) return;
    if (before.is_object() && after.is_object()) {
      CompareMembers(before_location, before.get_object(), after_location,
                     after.get_object());
    } else if (IsNamedList(before) && IsNamedList(after)) {
      CompareNamedLists(before_location, before.get_array(), after_location,
                        after.get_array());
    } else {
      changes_.push_back({ChangeKind::kChanged, after_location.pointer,
                          after_location.subject, json::serialize(before),
                          json::serialize(after)});
    }
  }

 private:
  /// Compares members by name; canonical objects of one kind always have the
  /// same members.
  void CompareMembers(const Location& before_location,
                      const json::object& before,
                      const Location& after_location,
                      const json::object& after) {
    for (const auto& member : after) {
      const std::string_view name(member.key().data(), member.key().size());
      Compare(before_location.Member(name), before.at(member.key()),
              after_location.Member(name), member.value());
    }
  }

  /// Merges two lists that are sorted by name.
  void CompareNamedLists(const Location& before_location,
                         const json::array& before,
                         const Location& after_location,
                         const json::array& after) {
    std::size_t b = 0;
    std::size_t a = 0;
    while (b < before.size() || a < after.size()) {
      const int order = CompareNextNames(before, b, after, a);
      if (order < 0) {
        Remove(before_location.Element(b, NameOf(before[b])), before[b]);
      } else if (order > 0) {
        Insert(after_location.Element(a, NameOf(after[a])), after[a]);
      } else {
        Compare(before_location.Element(b, NameOf(before[b])), before[b],
                after_location.Element(a, NameOf(after[a])), after[a]);
      }
      if (order <= 0) ++b;
      if (order >= 0) ++a;
    }
  }

  /// Compares the names of the elements `b` of `before` and `a` of `after`.
  /// Returns a negative number if the element of `before` comes first, a
  /// positive number if that of `after` does, and 0 if the names are equal. If
  /// one list has no more elements, the element of the other comes first.
  static int CompareNextNames(const json::array& before, std::size_t b,
                              const json::array& after, std::size_t a) {
    if (b == before.size()) return 1;
    if (a == after.size()) return -1;
    return NameOf(before[b]).compare(NameOf(after[a]));
  }

  void Remove(const Location& at, const json::value& value) {
    changes_.push_back({ChangeKind::kRemoved, at.pointer, at.subject,
                        json::serialize(value), ""});
  }

  void Insert(const Location& at, const json::value& value) {
    changes_.push_back({ChangeKind::kAdded, at.pointer, at.subject, "",
                        json::serialize(value)});
  }

  std::vector<DocumentChange> changes_;
};

json::value Canonical(const model::Environment& environment) {
  model::Environment sorted = environment;
  SortDocument(sorted);
  return DocumentToJson(sorted);
}

}  // namespace

std::vector<DocumentChange> DiffDocuments(const model::Environment& before,
                                          const model::Environment& after) {
  DocumentComparison comparison;
  comparison.Compare({}, Canonical(before), {}, Canonical(after));
  return comparison.TakeChanges();
}

std::string_view ToString(ChangeKind kind) {
  switch (kind) {
    case ChangeKind::kAdded:
      return "added";
    case ChangeKind::kRemoved:
      return "removed";
    case ChangeKind::kChanged:
      return "changed";
  }
  return "unknown";
}

}  // namespace berylreach::config
