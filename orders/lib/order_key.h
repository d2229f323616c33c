// Identity of an order within an environment.
#pragma once

#include <string>
#include <tuple>

#include "berylreach/model/names.h"

namespace berylreach::orders {

/// An idempotency key, which the caller chooses, and the service that it
/// belongs to.
struct OrderKey {
  model::ServiceName service;
  std::string key;

  friend bool operator==(const OrderKey&, const OrderKey&) = default;
  friend bool operator<(const OrderKey& a, const OrderKey& b) {
    return std::tie(a.service.value, a.key) < std::tie(b.service.value, b.key);
  }
};

}  // namespace berylreach::orders
