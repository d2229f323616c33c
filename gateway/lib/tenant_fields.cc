// Takes keys and tenants out of requests and adds the tenant to forwarded ones.
#include "tenant_fields.h"

#include <string>

namespace berylreach::gateway {

forward::TenantAccess TakeKey(const forward::RouteTable& table,
                              const forward::Route& route,
                              const WireNames& names, HttpRequest& request) {
  forward::TenantAccess access = forward::CheckAccess(
      table, route, request.fields.FindAllInHeader(names.api_key));
  if (!table.has_tenants()) return access;
  request.fields.Remove(names.api_key);
  request.fields.Remove(names.tenant);
  if (access.tenant != nullptr) request.tenant = access.tenant->name;
  return access;
}

forward::TenantAccess TakeTenant(const forward::RouteTable& table,
                                 const forward::Route& route,
                                 const WireNames& names, HttpRequest& request) {
  // Without tenants, a field of this name is the caller's and is passed on like
  // any other.
  if (table.has_tenants()) {
    request.tenant = std::string(request.fields.Find(names.tenant));
    request.fields.Remove(names.api_key);
    request.fields.Remove(names.tenant);
  }
  return forward::AccessForHost(table, route, request.tenant);
}

int StatusOf(forward::AccessRefusal refusal) {
  return refusal == forward::AccessRefusal::kNoRegion ? 403 : 401;
}

std::string_view CauseOf(forward::AccessRefusal refusal) {
  switch (refusal) {
    case forward::AccessRefusal::kMissingKey:
      return "no key";
    case forward::AccessRefusal::kNoRegion:
      return "no region is allowed to both the tenant and the route";
    case forward::AccessRefusal::kUnknownKey:
    case forward::AccessRefusal::kNone:
      break;
  }
  return "unknown key";
}

std::string TenantLine(const HttpRequest& request, const WireNames& names) {
  if (request.tenant.empty()) return {};
  return names.tenant + ": " + request.tenant + "\r\n";
}

}  // namespace berylreach::gateway
