// In-memory storage of parts by content hash.
#include "berylreach/rollout/part_store.h"

#include <algorithm>
#include <utility>

#include "berylreach/base/hash.h"

namespace berylreach::rollout {

std::string PartStore::Add(std::string bytes) {
  std::string hash = base::ContentHash(bytes);
  parts_.insert_or_assign(hash, std::move(bytes));
  return hash;
}

const std::string* PartStore::Find(const std::string& hash) const {
  const auto found = parts_.find(hash);
  return found == parts_.end() ? nullptr : &found->second;
}

std::vector<std::string> PartStore::Missing(
    const std::vector<std::string>& hashes) const {
  std::vector<std::string> missing;
  for (const std::string& hash : hashes) {
    if (!parts_.contains(hash)) missing.push_back(hash);
  }
  return missing;
}

void PartStore::Retain(const std::vector<std::string>& hashes) {
  std::erase_if(parts_, [&](const auto& part) {
    return std::find(hashes.begin(), hashes.end(), part.first) == hashes.end();
  });
}

}  // namespace berylreach::rollout
