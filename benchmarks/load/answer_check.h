// The check of answers.
#pragma once

#include <boost/json/object.hpp>
#include <string>

namespace berylreach::load {

/// Describes what is wrong with an answer; empty if nothing is. Throws if a
/// member is missing or of another type.
std::string FaultOf(const boost::json::object& answer,
                    const boost::json::value& payload);

}  // namespace berylreach::load
