// Consul KV form of store calls.
#pragma once

#include <string>

#include "berylreach/model/store_request.h"
#include "berylreach/model/store_result.h"

namespace berylreach::transport {

/// Bytes of the HTTP request to the store at `host`.
std::string FormatStoreRequest(const model::StoreRequest& request,
                               const std::string& host);

/// Interprets an answer; kUnknown if it is not one of the expected forms.
/// `index` is the value of X-Consul-Index.
model::StoreResult ParseStoreAnswer(const model::StoreRequest& request,
                                    int status, const std::string& index,
                                    const std::string& body);

}  // namespace berylreach::transport
