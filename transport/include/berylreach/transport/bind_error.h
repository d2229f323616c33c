// Failure to listen on an address.
#pragma once

#include <boost/outcome/result.hpp>
#include <string>

namespace berylreach::transport {

/// Why a listener could not be opened.
struct BindError {
  /// The address as configured.
  std::string address;
  /// Lower-case sentence without a full stop.
  std::string message;

  friend bool operator==(const BindError&, const BindError&) = default;
};

/// Either a listening component or the reason why there is none.
template <typename T>
using BindResult = boost::outcome_v2::unchecked<T, BindError>;

}  // namespace berylreach::transport
