// Checks addresses as connections parse them.
#include "berylreach/gateway/endpoint_address.h"

#include "address.h"
#include "berylreach/gateway/field_value.h"

namespace berylreach::gateway {

bool IsEndpointAddress(const std::string& address) {
  // The text itself is sent in the Host field, and the parser of the system
  // ends it at a NUL and takes anything for the scope of an IPv6 address.
  if (!CanBeIdentifier(address)) return false;
  const auto endpoint = ParseEndpoint(address);
  return endpoint && endpoint->port() != 0;
}

}  // namespace berylreach::gateway
