// Bounded set of proven fingerprints.
#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <unordered_map>

namespace berylreach::quarantine {

/// Set of limited capacity that evicts the least recently used fingerprint.
class ProvenSet {
 public:
  explicit ProvenSet(std::size_t capacity) : capacity_(capacity) {}

  /// Whether the set contains `fingerprint`; this does not count as a use.
  bool Contains(std::uint64_t fingerprint) const {
    return positions_.contains(fingerprint);
  }
  /// Adds `fingerprint` or marks it as used; evicts the least recently used one
  /// if the set is full.
  void Insert(std::uint64_t fingerprint);
  void Erase(std::uint64_t fingerprint);
  std::size_t size() const { return order_.size(); }

 private:
  std::size_t capacity_;
  std::list<std::uint64_t> order_;
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator>
      positions_;
};

}  // namespace berylreach::quarantine
