#include "json/json_reader.h"

#include <boost/json/value.hpp>
#include <charconv>

#include "base/hash.h"
#include "json/json_fields.h"

namespace crankspur {

namespace {

constexpr std::size_t kHashDigits = 16;
const boost::json::object kEmptyObject;

bool isLowerHexDigit(char digit) {
  return (digit >= '0' && digit <= '9') || (digit >= 'a' && digit <= 'f');
}

}  // namespace

void JsonProblem::record(std::string_view key, std::string_view reason) {
  if (found()) return;
  text_ = std::string(key) + ": " + std::string(reason);
}

std::optional<boost::json::object> parseJsonObject(std::string_view text, JsonProblem& problem) {
  std::optional<boost::json::object> object = parseJsonObject(text);
  if (!object) problem.record("body", "must be one JSON object");
  return object;
}

std::optional<std::uint64_t> parseHash(std::string_view digits) {
  if (digits.size() != kHashDigits) return std::nullopt;
  for (const char digit : digits) {
    if (!isLowerHexDigit(digit)) return std::nullopt;
  }
  std::uint64_t hash = 0;
  std::from_chars(digits.data(), digits.data() + digits.size(), hash, 16);
  return hash;
}

boost::json::array hashesToJson(const std::vector<std::uint64_t>& hashes) {
  boost::json::array array;
  array.reserve(hashes.size());
  for (const std::uint64_t hash : hashes) array.emplace_back(toHex(hash));
  return array;
}

bool JsonReader::has(std::string_view key) const {
  return object_.contains({key.data(), key.size()});
}

template <typename Value>
Value JsonReader::valueOr(std::string_view key, std::optional<Value> value, std::string_view reason) const {
  if (!value) problem_.record(key, has(key) ? reason : "is missing");
  return std::move(value).value_or(Value{});
}

std::string JsonReader::requireString(std::string_view key) const {
  return valueOr(key, stringField(object_, key), "must be a string");
}

std::string JsonReader::getString(std::string_view key) const {
  return has(key) ? requireString(key) : std::string();
}

bool JsonReader::requireBool(std::string_view key) const {
  return valueOr(key, boolField(object_, key), "must be true or false");
}

bool JsonReader::getBool(std::string_view key) const {
  return has(key) && requireBool(key);
}

std::uint64_t JsonReader::requireUnsigned(std::string_view key, std::uint64_t max) const {
  std::optional<std::uint64_t> number = unsignedField(object_, key);
  if (number && *number > max) number.reset();
  return valueOr(key, number, "must be a whole number from 0 to " + std::to_string(max));
}

std::uint64_t JsonReader::getUnsigned(std::string_view key, std::uint64_t fallback, std::uint64_t max) const {
  return has(key) ? requireUnsigned(key, max) : fallback;
}

std::uint32_t JsonReader::requireUnsigned32(std::string_view key) const {
  return static_cast<std::uint32_t>(requireUnsigned(key, std::numeric_limits<std::uint32_t>::max()));
}

std::uint32_t JsonReader::getUnsigned32(std::string_view key, std::uint32_t fallback) const {
  return has(key) ? requireUnsigned32(key) : fallback;
}

double JsonReader::requireNumber(std::string_view key, double min, double max) const {
  std::optional<double> number = numberField(object_, key);
  if (number && !(*number >= min && *number <= max)) number.reset();
  return valueOr(key, number, "must be a number from " + std::to_string(min) + " to " + std::to_string(max));
}

std::uint64_t JsonReader::requireHash(std::string_view key) const {
  const std::optional<std::string> digits = stringField(object_, key);
  const std::optional<std::uint64_t> hash = digits ? parseHash(*digits) : std::nullopt;
  return valueOr(key, hash, "must be 16 lower-case hexadecimal digits");
}

const boost::json::array* JsonReader::requireArray(std::string_view key) const {
  const boost::json::array* array = arrayField(object_, key);
  if (array == nullptr) problem_.record(key, has(key) ? "must be an array" : "is missing");
  return array;
}

std::vector<std::uint64_t> JsonReader::requireHashes(std::string_view key) const {
  std::vector<std::uint64_t> hashes;
  const boost::json::array* array = requireArray(key);
  if (array == nullptr) return hashes;
  hashes.reserve(array->size());
  for (const boost::json::value& element : *array) {
    const boost::json::string* digits = element.if_string();
    const auto hash = digits == nullptr ? std::nullopt : parseHash({digits->data(), digits->size()});
    if (!hash) problem_.record(key, "must hold 16 lower-case hexadecimal digits each");
    hashes.push_back(hash.value_or(0));
  }
  return hashes;
}

std::vector<std::string> JsonReader::getStrings(std::string_view key) const {
  std::vector<std::string> texts;
  const boost::json::array* array = has(key) ? requireArray(key) : nullptr;
  if (array == nullptr) return texts;
  for (const boost::json::value& element : *array) {
    const boost::json::string* text = element.if_string();
    if (text == nullptr) {
      problem_.record(key, "must hold strings");
      return {};
    }
    texts.emplace_back(text->data(), text->size());
  }
  return texts;
}

std::vector<JsonReader> JsonReader::requireObjects(std::string_view key) const {
  std::vector<JsonReader> readers;
  const auto objects = objectsField(object_, key);
  if (!objects) problem_.record(key, has(key) ? "must be an array of objects" : "is missing");
  if (!objects) return readers;
  for (const boost::json::object* object : *objects) readers.emplace_back(*object, problem_);
  return readers;
}

JsonReader JsonReader::requireObject(std::string_view key) const {
  const boost::json::value* value = object_.if_contains({key.data(), key.size()});
  const boost::json::object* object = value == nullptr ? nullptr : value->if_object();
  if (object == nullptr) problem_.record(key, value == nullptr ? "is missing" : "must be an object");
  return {object == nullptr ? kEmptyObject : *object, problem_};
}

}  // namespace crankspur
