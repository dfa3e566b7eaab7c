#pragma once
/// @file Strict reading of fields from untrusted JSON. A missing field or one of another type is empty, never
/// a default.

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace crankspur {

/// @return the object, or empty when `text` is not exactly one JSON object of bounded depth.
std::optional<boost::json::object> parseJsonObject(std::string_view text);

std::optional<std::string> stringField(const boost::json::object& object, std::string_view name);
/// @return the field when it is a whole number of at least 0.
std::optional<std::uint64_t> unsignedField(const boost::json::object& object, std::string_view name);
/// @return the field when it is any number.
std::optional<double> numberField(const boost::json::object& object, std::string_view name);
std::optional<bool> boolField(const boost::json::object& object, std::string_view name);
/// @return the array, or nullptr.
const boost::json::array* arrayField(const boost::json::object& object, std::string_view name);
/// @return the objects of an array, or empty when the field is no array of objects only.
std::optional<std::vector<const boost::json::object*>> objectsField(const boost::json::object& object,
                                                                    std::string_view name);

}  // namespace crankspur
