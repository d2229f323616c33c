// Validation of answers from hosts.
#pragma once

#include <boost/json/object.hpp>
#include <string>

namespace berylreach::load {

/// Describes the first inconsistency of an answer to a request with `payload`;
/// empty if there is none. Throws if a JSON member is missing or has another
/// type.
std::string DescribeAnswerFault(const boost::json::object& answer,
                                const boost::json::value& payload);

}  // namespace berylreach::load
