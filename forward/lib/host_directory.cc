// Keeps hosts whose entries vanish around an outage of the store.
#include "berylreach/forward/host_directory.h"

#include <set>
#include <utility>

namespace berylreach::forward {

void HostDirectory::Put(HostEntry entry) {
  const std::string name = entry.name;
  hosts_[name] = {.entry = std::move(entry)};
}

void HostDirectory::Remove(const std::string& name) {
  const auto found = hosts_.find(name);
  if (found == hosts_.end()) return;
  if (grace_.IsActive()) {
    found->second.vanished = true;
  } else {
    hosts_.erase(found);
  }
}

void HostDirectory::Replace(std::vector<HostEntry> entries) {
  std::set<std::string> missing;
  for (const auto& [name, host] : hosts_) missing.insert(name);
  for (HostEntry& entry : entries) {
    missing.erase(entry.name);
    Put(std::move(entry));
  }
  for (const std::string& name : missing) Remove(name);
}

bool HostDirectory::Tick() {
  if (grace_.IsActive()) return false;
  return std::erase_if(
             hosts_, [](const auto& host) { return host.second.vanished; }) > 0;
}

std::vector<HostEntry> HostDirectory::Hosts() const {
  std::vector<HostEntry> hosts;
  for (const auto& [name, host] : hosts_) hosts.push_back(host.entry);
  return hosts;
}

}  // namespace berylreach::forward
