// A bounded set of proven fingerprints.
#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <unordered_map>

namespace berylreach::quarantine {

/// Least-recently-used set.
class ProvenSet {
 public:
  explicit ProvenSet(std::size_t capacity) : capacity_(capacity) {}

  /// Whether `fingerprint` is held; does not count as a use.
  bool Contains(std::uint64_t fingerprint) const {
    return positions_.contains(fingerprint);
  }
  /// Adds or refreshes; evicts the least recently used when full.
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
