// Splits documents into content-addressed parts and assembles them again.
#include "berylreach/config/document_parts.h"

#include <map>
#include <utility>

#include "berylreach/base/hash.h"
#include "berylreach/config/bounds.h"
#include "berylreach/config/document.h"
#include "document_json.h"
#include "object_reader.h"

namespace berylreach::config {
namespace {

/// Length of the text form of base::ContentHash.
constexpr std::size_t kHashDigits = 32;

/// One service in a manifest: its name and the hash of its part.
struct ServiceEntry {
  std::string name;
  std::string hash;
};

/// Content of a manifest.
struct Manifest {
  /// Hash of the part with the deployment's name and zones.
  std::string name_and_zones_hash;
  std::vector<ServiceEntry> services;
};

DocumentPart MakePart(std::string bytes) {
  std::string hash = base::ContentHash(bytes);
  return {std::move(hash), std::move(bytes)};
}

std::string ReadHash(ObjectReader& reader, std::string_view name) {
  std::string hash = reader.Text(name, kHashDigits);
  if (!hash.empty() && hash.size() != kHashDigits)
    reader.AddFinding(name, "must be a string of 32 hexadecimal digits");
  return hash;
}

Parsed<Manifest> ParseManifest(std::string_view bytes) {
  Parsed<Manifest> result;
  const auto value = ParseJson(bytes, kMaxStoreValueBytes, result.findings);
  if (!value) return result;
  Manifest manifest;
  ObjectReader reader(*value, "", result.findings);
  manifest.name_and_zones_hash = ReadHash(reader, "rest");
  reader.ForEachElement(
      "services", 1, kMaxServices,
      [&](const json::value& entry, const std::string& location) {
        ObjectReader service(entry, location, result.findings);
        std::string name = service.Name("name");
        std::string hash = ReadHash(service, "part");
        manifest.services.push_back({std::move(name), std::move(hash)});
      });
  if (result.findings.empty()) result.value = std::move(manifest);
  return result;
}

DocumentPart MakeManifest(const model::Environment& environment,
                          const std::vector<DocumentPart>& parts) {
  json::array services;
  for (std::size_t i = 0; i < environment.services.size(); ++i) {
    services.push_back({{"name", environment.services[i].name.value},
                        {"part", parts[i + 1].hash}});
  }
  return MakePart(json::serialize(json::object{
      {"rest", parts[0].hash}, {"services", std::move(services)}}));
}

/// Finds parts by content hash. The parts must outlive the index.
class PartIndex {
 public:
  explicit PartIndex(const std::vector<std::string>& parts) {
    for (const std::string& part : parts)
      parts_.emplace(base::ContentHash(part), &part);
  }

  /// Parses the part with the hash `hash`. If the part is missing or not valid
  /// JSON, adds findings and returns null. `location` is the JSON pointer to
  /// the hash in the manifest.
  json::value Load(const std::string& hash, const std::string& location,
                   base::Findings& findings) const {
    const auto found = parts_.find(hash);
    if (found == parts_.end()) {
      findings.push_back(
          {location, "names part " + hash + ", which is missing"});
      return nullptr;
    }
    base::Findings part_findings;
    auto value = ParseJson(*found->second, kMaxStoreValueBytes, part_findings);
    for (const base::Finding& finding : part_findings)
      findings.push_back(
          {location, "names part " + hash + ", which " + finding.message});
    return value ? std::move(*value) : json::value(nullptr);
  }

 private:
  std::map<std::string, const std::string*> parts_;
};

}  // namespace

Parsed<DocumentParts> SplitDocument(std::string_view bytes) {
  Parsed<DocumentParts> result;
  auto parsed = ParseDocument(bytes);
  result.findings = std::move(parsed.findings);
  if (!parsed.value) return result;
  const model::Environment& environment = *parsed.value;
  DocumentParts split;
  split.parts.push_back(
      MakePart(json::serialize(NameAndZonesToJson(environment))));
  for (const model::Service& service : environment.services)
    split.parts.push_back(MakePart(json::serialize(ServiceToJson(service))));
  split.manifest = MakeManifest(environment, split.parts);
  result.value = std::move(split);
  return result;
}

Parsed<std::vector<std::string>> ListPartHashes(std::string_view manifest) {
  Parsed<std::vector<std::string>> result;
  auto parsed = ParseManifest(manifest);
  result.findings = std::move(parsed.findings);
  if (!parsed.value) return result;
  std::vector<std::string> hashes{parsed.value->name_and_zones_hash};
  for (const ServiceEntry& service : parsed.value->services)
    hashes.push_back(service.hash);
  result.value = std::move(hashes);
  return result;
}

Parsed<std::string> AssembleDocument(std::string_view manifest,
                                     const std::vector<std::string>& parts) {
  Parsed<std::string> result;
  auto parsed = ParseManifest(manifest);
  result.findings = std::move(parsed.findings);
  if (!parsed.value) return result;
  const PartIndex index(parts);
  json::value document =
      index.Load(parsed.value->name_and_zones_hash, "/rest", result.findings);
  json::array services;
  for (std::size_t i = 0; i < parsed.value->services.size(); ++i) {
    services.push_back(index.Load(
        parsed.value->services[i].hash,
        ChildLocation(ChildLocation("/services", i), "part"), result.findings));
  }
  if (document.is_object())
    document.get_object()["services"] = std::move(services);
  else if (result.findings.empty())
    result.findings.push_back({"/rest", "names a part that is no object"});
  if (result.findings.empty()) result.value = json::serialize(document);
  return result;
}

}  // namespace berylreach::config
