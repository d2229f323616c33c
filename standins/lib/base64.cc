// Base64 encoder, implemented with that of Boost.Beast.
#include "berylreach/standins/base64.h"

#include <boost/beast/core/detail/base64.hpp>

namespace berylreach::standins {

std::string EncodeBase64(std::string_view bytes) {
  namespace base64 = boost::beast::detail::base64;
  std::string text(base64::encoded_size(bytes.size()), '\0');
  text.resize(base64::encode(text.data(), bytes.data(), bytes.size()));
  return text;
}

}  // namespace berylreach::standins
