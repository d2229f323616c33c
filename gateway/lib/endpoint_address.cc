// Checks addresses as connections parse them.
#include "berylreach/gateway/endpoint_address.h"

#include "address.h"

namespace berylreach::gateway {

bool IsEndpointAddress(const std::string& address) {
  const auto endpoint = ParseEndpoint(address);
  return endpoint && endpoint->port() != 0;
}

}  // namespace berylreach::gateway
