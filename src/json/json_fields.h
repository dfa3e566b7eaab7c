#pragma once
/// @file Strict reading of fields from untrusted JSON. A field that is missing or has another type yields an
/// empty value, never a default.

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace crankspur {

/// @return the object, or empty when `text` is not exactly one JSON object or nests too deeply.
std::optional<boost::json::object> parseJsonObject(std::string_view text);

std::optional<std::string> stringField(const boost::json::object& object, std::string_view name);
/// @return the field when it is a non-negative integer.
std::optional<std::uint64_t> unsignedField(const boost::json::object& object, std::string_view name);
/// @return the field when it is any number.
std::optional<double> numberField(const boost::json::object& object, std::string_view name);
std::optional<bool> boolField(const boost::json::object& object, std::string_view name);
/// @return the array, or nullptr.
const boost::json::array* arrayField(const boost::json::object& object, std::string_view name);
/// @return the objects of an array, or empty when the field is not an array or has other elements.
std::optional<std::vector<const boost::json::object*>> objectsField(const boost::json::object& object,
                                                                    std::string_view name);

}  // namespace crankspur
