// The content-addressed parts that this host keeps.
#pragma once

#include <string>
#include <vector>

#include "berylreach/rollout/assembler.h"

namespace berylreach::rollout {

/// Parts by their content hash.
class PartStore {
 public:
  /// Keeps `bytes` under its content hash, and returns the hash.
  std::string Add(std::string bytes);

  /// The part of that hash; null if it is not kept.
  const std::string* Find(const std::string& hash) const;

  /// Those of `hashes` that are not kept.
  std::vector<std::string> Missing(
      const std::vector<std::string>& hashes) const;

  /// Forgets all parts outside `hashes`.
  void Retain(const std::vector<std::string>& hashes);

  const Parts& parts() const { return parts_; }

 private:
  Parts parts_;
};

}  // namespace berylreach::rollout
