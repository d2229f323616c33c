// In-memory storage of the parts of documents by content hash.
#pragma once

#include <string>
#include <vector>

#include "berylreach/rollout/assembler.h"

namespace berylreach::rollout {

/// Stores parts by their content hash.
class PartStore {
 public:
  /// Stores `bytes` under its content hash and returns the hash.
  std::string Add(std::string bytes);

  /// The part with the content hash `hash`; null if it is not stored.
  const std::string* Find(const std::string& hash) const;

  /// Those of `hashes` whose parts are not stored.
  std::vector<std::string> Missing(
      const std::vector<std::string>& hashes) const;

  /// Removes all parts whose hashes are not in `hashes`.
  void Retain(const std::vector<std::string>& hashes);

  const Parts& parts() const { return parts_; }

 private:
  Parts parts_;
};

}  // namespace berylreach::rollout
