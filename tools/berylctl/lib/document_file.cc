// Reading of document files.
#include "document_file.h"

#include <fstream>

#include "berylreach/config/bounds.h"

namespace berylreach::berylctl {

Result<std::string> ReadDocumentFile(const std::string& path) {
  std::ifstream stream(path, std::ios::binary);
  // One byte above the maximum is enough for the parser to report it.
  std::string bytes(config::kMaxDocumentBytes + 1, '\0');
  stream.read(bytes.data(), static_cast<std::streamsize>(bytes.size()));
  if (!stream.is_open() || stream.bad())
    return Failure{ExitCode::kUsage, "cannot read file " + path};
  bytes.resize(static_cast<std::size_t>(stream.gcount()));
  return bytes;
}

}  // namespace berylreach::berylctl
