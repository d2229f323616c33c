// Parses and checks one document. Private to the package.
#pragma once

#include <map>
#include <set>
#include <string>

#include "berylreach/base/finding.h"
#include "berylreach/model/environment.h"
#include "json_input.h"
#include "object_reader.h"

namespace berylreach::config {

/// Reads one document and remembers the names and addresses met so far, so that
/// duplicates are reported with the place of the first use.
class DocumentParser {
 public:
  explicit DocumentParser(base::Findings& findings) : findings_(findings) {}

  model::Environment Parse(const json::value& value);

 private:
  using Places = std::map<std::string, std::string>;

  model::Zone ParseZone(const json::value& value, const std::string& place);
  model::Service ParseService(const json::value& value,
                              const std::string& place);
  std::vector<model::RequestKind> ParseAccepts(ObjectReader& reader);
  model::Leaf ParseLeaf(const json::value& value, const std::string& place);
  void CheckZones(const model::Environment& environment);
  /// Reports `value` if it is already in `seen`; empty values are wrong for
  /// another reason that is reported elsewhere.
  void CheckUnique(Places& seen, const std::string& value,
                   const std::string& place);

  base::Findings& findings_;
  Places zones_;
  Places services_;
  Places leaves_;
  Places addresses_;
};

}  // namespace berylreach::config
