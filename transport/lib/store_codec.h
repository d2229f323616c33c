// Formats and parses HTTP messages of the Consul KV API.
#pragma once

#include <string>

#include "berylreach/model/store_request.h"
#include "berylreach/model/store_result.h"

namespace berylreach::transport {

/// Formats the HTTP request for `request`; `host` is the value of its Host
/// header.
std::string FormatStoreRequest(const model::StoreRequest& request,
                               const std::string& host);

/// Parses the answer to `request`; the outcome is kUnknown if it is invalid.
/// `index` is the value of X-Consul-Index.
model::StoreResult ParseStoreAnswer(const model::StoreRequest& request,
                                    int status, const std::string& index,
                                    const std::string& body);

}  // namespace berylreach::transport
