// Parses and validates one document. Private to the package.
#pragma once

#include <map>
#include <set>
#include <string>

#include "berylreach/base/finding.h"
#include "berylreach/model/environment.h"
#include "json_input.h"
#include "object_reader.h"

namespace berylreach::config {

/// Parses one document. Records the names and addresses read so far, so that a
/// finding about a duplicate can give the location of the first use.
class DocumentParser {
 public:
  explicit DocumentParser(base::Findings& findings) : findings_(findings) {}

  /// Parses and validates `value`. The result is valid only if this adds no
  /// findings.
  model::Environment Parse(const json::value& value);

 private:
  /// Locations of first use as JSON pointers, by name or address.
  using FirstUses = std::map<std::string, std::string>;

  model::Zone ParseZone(const json::value& value, const std::string& location);
  model::Service ParseService(const json::value& value,
                              const std::string& location);
  std::vector<model::RequestKind> ParseAccepts(ObjectReader& reader);
  model::Leaf ParseLeaf(const json::value& value, const std::string& location);
  void CheckZones(const model::Environment& environment);
  /// Adds a finding if `value` is already in `seen`. Ignores empty values,
  /// which have been reported as invalid.
  void CheckUnique(FirstUses& seen, const std::string& value,
                   const std::string& location);

  base::Findings& findings_;
  FirstUses zones_;
  FirstUses services_;
  FirstUses leaves_;
  FirstUses addresses_;
};

}  // namespace berylreach::config
