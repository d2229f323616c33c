// Error of a component that cannot listen on its address.
#pragma once

#include <boost/outcome/result.hpp>
#include <string>

namespace berylreach::transport {

/// Why a listener could not be opened.
struct BindError {
  /// The address as configured.
  std::string address;
  /// Reason as a lower-case sentence without a full stop.
  std::string message;

  friend bool operator==(const BindError&, const BindError&) = default;
};

/// Either a listening component or the error that prevented it.
template <typename T>
using BindResult = boost::outcome_v2::unchecked<T, BindError>;

}  // namespace berylreach::transport
