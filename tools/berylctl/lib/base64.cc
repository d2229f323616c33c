// Base64 decoding.
#include "base64.h"

#include <boost/archive/iterators/binary_from_base64.hpp>
#include <boost/archive/iterators/dataflow_exception.hpp>
#include <boost/archive/iterators/transform_width.hpp>

namespace berylreach::berylctl {

std::optional<std::string> DecodeBase64(std::string_view text) {
  using boost::archive::iterators::binary_from_base64;
  using boost::archive::iterators::transform_width;
  using Decoder =
      transform_width<binary_from_base64<std::string_view::const_iterator>, 8,
                      6>;
  if (text.size() % 4 != 0) return std::nullopt;
  std::size_t padding = 0;
  while (padding < 2 && !text.empty() && text.back() == '=') {
    text.remove_suffix(1);
    ++padding;
  }
  // The decoder reads whole groups of 4 digits, so it stops by byte count.
  const std::size_t bytes = text.size() * 6 / 8;
  std::string padded(text);
  padded.append(padding, 'A');
  try {
    const std::string_view digits(padded);
    Decoder next(digits.begin());
    std::string result;
    result.reserve(bytes);
    for (std::size_t i = 0; i < bytes; ++i) result += *next++;
    return result;
  } catch (const boost::archive::iterators::dataflow_exception&) {
    return std::nullopt;
  }
}

}  // namespace berylreach::berylctl
