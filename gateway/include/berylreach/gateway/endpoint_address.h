// Check of the addresses at which leaves and hosts accept connections.
#pragma once

#include <string>

namespace berylreach::gateway {

/// Whether `address` is an "IP:port" to which a connection can be opened, and
/// nothing more, so that it can be sent in a header field.
bool IsEndpointAddress(const std::string& address);

}  // namespace berylreach::gateway
