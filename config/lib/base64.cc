// Decodes base64 with the iterators of Boost.Serialization and encodes it with
// Boost.Beast.
#include "berylreach/config/base64.h"

#include <boost/archive/iterators/binary_from_base64.hpp>
#include <boost/archive/iterators/dataflow_exception.hpp>
#include <boost/archive/iterators/transform_width.hpp>
#include <boost/beast/core/detail/base64.hpp>

namespace berylreach::config {
namespace {

namespace iterators = boost::archive::iterators;

/// Digits that encode a group of three bytes.
constexpr std::size_t kDigitsPerGroup = 4;

}  // namespace

std::optional<std::string> DecodeBase64(std::string_view text) {
  using Decoder =
      iterators::transform_width<iterators::binary_from_base64<const char*>, 8,
                                 6>;
  if (text.size() % kDigitsPerGroup != 0) return std::nullopt;
  std::size_t padding = 0;
  while (padding < 2 && padding < text.size() &&
         text[text.size() - padding - 1] == '=')
    ++padding;
  text.remove_suffix(padding);
  // The decoder would read a padding character within the text as a zero digit.
  if (text.find('=') != std::string_view::npos) return std::nullopt;
  // The decoder would read past the end of an incomplete last group. So the
  // padding is replaced by zero digits ('A'), and the bytes that they add are
  // removed from the result.
  std::string padded(text);
  padded.append(padding, 'A');
  try {
    std::string bytes(Decoder(padded.data()),
                      Decoder(padded.data() + padded.size()));
    bytes.resize(bytes.size() - padding);
    return bytes;
  } catch (const iterators::dataflow_exception&) {
    return std::nullopt;
  }
}

std::string EncodeBase64(std::string_view bytes) {
  namespace base64 = boost::beast::detail::base64;
  std::string text(base64::encoded_size(bytes.size()), '\0');
  text.resize(base64::encode(text.data(), bytes.data(), bytes.size()));
  return text;
}

}  // namespace berylreach::config
