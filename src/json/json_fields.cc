#include "json/json_fields.h"

#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>

namespace crankspur {

namespace {

constexpr std::size_t kMaxDepth = 16;

const boost::json::value* findField(const boost::json::object& object, std::string_view name) {
  return object.if_contains(boost::json::string_view(name.data(), name.size()));
}

}  // namespace

std::optional<boost::json::object> parseJsonObject(std::string_view text) {
  boost::json::parse_options options;
  options.max_depth = kMaxDepth;
  boost::json::error_code error;
  const boost::json::string_view input(text.data(), text.size());
  boost::json::value value = boost::json::parse(input, error, {}, options);
  if (error || !value.is_object()) {
    return std::nullopt;
  }
  return std::move(value.get_object());
}

std::optional<std::string> stringField(const boost::json::object& object, std::string_view name) {
  const boost::json::value* value = findField(object, name);
  if (value == nullptr || !value->is_string()) {
    return std::nullopt;
  }
  const boost::json::string& text = value->get_string();
  return std::string(text.data(), text.size());
}

std::optional<std::uint64_t> unsignedField(const boost::json::object& object, std::string_view name) {
  const boost::json::value* value = findField(object, name);
  if (value == nullptr) {
    return std::nullopt;
  }
  if (value->is_uint64()) {
    return value->get_uint64();
  }
  if (value->is_int64() && value->get_int64() >= 0) {
    return static_cast<std::uint64_t>(value->get_int64());
  }
  return std::nullopt;
}

std::optional<double> numberField(const boost::json::object& object, std::string_view name) {
  const boost::json::value* value = findField(object, name);
  if (value == nullptr || !value->is_number()) {
    return std::nullopt;
  }
  return value->to_number<double>();
}

std::optional<bool> boolField(const boost::json::object& object, std::string_view name) {
  const boost::json::value* value = findField(object, name);
  if (value == nullptr || !value->is_bool()) {
    return std::nullopt;
  }
  return value->get_bool();
}

const boost::json::array* arrayField(const boost::json::object& object, std::string_view name) {
  const boost::json::value* value = findField(object, name);
  return value == nullptr ? nullptr : value->if_array();
}

std::optional<std::vector<const boost::json::object*>> objectsField(const boost::json::object& object,
                                                                    std::string_view name) {
  const boost::json::array* array = arrayField(object, name);
  if (array == nullptr) {
    return std::nullopt;
  }
  std::vector<const boost::json::object*> objects;
  for (const boost::json::value& element : *array) {
    if (!element.is_object()) {
      return std::nullopt;
    }
    objects.push_back(&element.get_object());
  }
  return objects;
}

}  // namespace crankspur
