// Percent-encoding of text that becomes part of a request target.
#pragma once

#include <string>
#include <string_view>

namespace berylreach::base {

/// Percent-encodes all bytes but unreserved characters (RFC 3986, section 2.3)
/// and slashes, so that the text can neither end nor split the path segment or
/// the query parameter that holds it.
std::string PercentEncode(std::string_view text);

}  // namespace berylreach::base
