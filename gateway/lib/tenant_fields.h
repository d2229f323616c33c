// The header fields of keys and tenants. Private to the package.
#pragma once

#include "berylreach/forward/tenant_access.h"
#include "berylreach/gateway/http_message.h"
#include "berylreach/gateway/wire_names.h"

namespace berylreach::gateway {

/// Decides on a caller's request by its key. If the configuration has tenants,
/// removes the key and any name of a tenant from the fields, so that nothing
/// that handles the request later can forward or log them, and sets the
/// request's tenant.
forward::TenantAccess TakeKey(const forward::RouteTable& table,
                              const forward::Route& route,
                              const WireNames& names, HttpRequest& request);

/// Reads the tenant from a request that another host passes on, and sets the
/// request's tenant.
forward::TenantAccess TakeTenant(const forward::RouteTable& table,
                                 const forward::Route& route,
                                 const WireNames& names, HttpRequest& request);

/// Returns the status and the cause with which a request is refused.
int StatusOf(forward::AccessRefusal refusal);
std::string_view CauseOf(forward::AccessRefusal refusal);

/// Returns the forwarded header line that names the request's tenant; empty if
/// it belongs to none.
std::string TenantLine(const HttpRequest& request, const WireNames& names);

}  // namespace berylreach::gateway
