#include "json/object_reader.h"

#include <boost/json/parse.hpp>
#include <charconv>
#include <cmath>

#include "base/hash.h"

namespace crankspur::json {

namespace {

constexpr std::size_t kMaximumDepth = 16;
constexpr std::size_t kHashDigits = 16;
const boost::json::object kEmptyObject;

bool isLowerHexDigit(char digit) {
  return (digit >= '0' && digit <= '9') || (digit >= 'a' && digit <= 'f');
}

std::string toString(const boost::json::string& text) {
  return {text.data(), text.size()};
}

}  // namespace

void Problem::note(std::string_view key, std::string_view reason) {
  if (found()) return;
  text_ = std::string(key) + ": " + std::string(reason);
}

std::optional<boost::json::object> parseObject(std::string_view text, Problem& problem) {
  boost::json::parse_options options;
  options.max_depth = kMaximumDepth;
  boost::json::error_code error;
  boost::json::value value = boost::json::parse({text.data(), text.size()}, error, {}, options);
  if (error) {
    problem.note("body", error.message());
    return std::nullopt;
  }
  if (!value.is_object()) {
    problem.note("body", "must be a JSON object");
    return std::nullopt;
  }
  return std::move(value.get_object());
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

boost::json::array hashArray(const std::vector<std::uint64_t>& hashes) {
  boost::json::array array;
  array.reserve(hashes.size());
  for (const std::uint64_t hash : hashes) array.emplace_back(toHex(hash));
  return array;
}

const boost::json::value* ObjectReader::find(std::string_view key) const {
  return object_.if_contains({key.data(), key.size()});
}

const boost::json::value* ObjectReader::require(std::string_view key) const {
  const boost::json::value* value = find(key);
  if (value == nullptr) problem_.note(key, "is missing");
  return value;
}

bool ObjectReader::has(std::string_view key) const {
  return find(key) != nullptr;
}

std::string ObjectReader::requireString(std::string_view key) const {
  const boost::json::value* value = require(key);
  if (value == nullptr) return {};
  if (const auto* text = value->if_string()) return toString(*text);
  problem_.note(key, "must be a string");
  return {};
}

std::string ObjectReader::getString(std::string_view key) const {
  return has(key) ? requireString(key) : std::string();
}

bool ObjectReader::requireBool(std::string_view key) const {
  const boost::json::value* value = require(key);
  if (value == nullptr) return false;
  if (const auto* flag = value->if_bool()) return *flag;
  problem_.note(key, "must be true or false");
  return false;
}

bool ObjectReader::getBool(std::string_view key) const {
  return has(key) && requireBool(key);
}

std::uint64_t ObjectReader::requireUnsigned(std::string_view key, std::uint64_t highest) const {
  const boost::json::value* value = require(key);
  if (value == nullptr) return 0;
  boost::json::error_code error;
  const auto number = value->to_number<std::uint64_t>(error);
  const bool whole = value->is_int64() || value->is_uint64();
  if (error || !whole || number > highest) {
    problem_.note(key, "must be a whole number from 0 to " + std::to_string(highest));
    return 0;
  }
  return number;
}

std::uint64_t ObjectReader::getUnsigned(std::string_view key, std::uint64_t fallback,
                                        std::uint64_t highest) const {
  return has(key) ? requireUnsigned(key, highest) : fallback;
}

std::uint32_t ObjectReader::requireUnsigned32(std::string_view key) const {
  return static_cast<std::uint32_t>(requireUnsigned(key, std::numeric_limits<std::uint32_t>::max()));
}

std::uint32_t ObjectReader::getUnsigned32(std::string_view key, std::uint32_t fallback) const {
  return has(key) ? requireUnsigned32(key) : fallback;
}

double ObjectReader::requireNumber(std::string_view key, double lowest, double highest) const {
  const boost::json::value* value = require(key);
  if (value == nullptr) return lowest;
  boost::json::error_code error;
  const double number = value->is_number() ? value->to_number<double>(error) : std::nan("");
  if (error || !(number >= lowest && number <= highest)) {
    problem_.note(key, "must be a number from " + std::to_string(lowest) + " to " + std::to_string(highest));
    return lowest;
  }
  return number;
}

std::uint64_t ObjectReader::requireHash(std::string_view key) const {
  const std::optional<std::uint64_t> hash = parseHash(requireString(key));
  if (!hash) problem_.note(key, "must be 16 lower-case hexadecimal digits");
  return hash.value_or(0);
}

const boost::json::array* ObjectReader::requireArray(std::string_view key) const {
  const boost::json::value* value = require(key);
  if (value == nullptr) return nullptr;
  const boost::json::array* array = value->if_array();
  if (array == nullptr) problem_.note(key, "must be an array");
  return array;
}

std::vector<std::uint64_t> ObjectReader::requireHashes(std::string_view key) const {
  std::vector<std::uint64_t> hashes;
  const boost::json::array* array = requireArray(key);
  if (array == nullptr) return hashes;
  hashes.reserve(array->size());
  for (const boost::json::value& element : *array) {
    const boost::json::string* digits = element.if_string();
    const auto hash = digits == nullptr ? std::nullopt : parseHash({digits->data(), digits->size()});
    if (!hash) problem_.note(key, "must hold 16 lower-case hexadecimal digits each");
    hashes.push_back(hash.value_or(0));
  }
  return hashes;
}

std::vector<std::string> ObjectReader::getStrings(std::string_view key) const {
  std::vector<std::string> texts;
  const boost::json::array* array = has(key) ? requireArray(key) : nullptr;
  if (array == nullptr) return texts;
  for (const boost::json::value& element : *array) {
    const boost::json::string* text = element.if_string();
    if (text == nullptr) {
      problem_.note(key, "must hold strings");
      return {};
    }
    texts.push_back(toString(*text));
  }
  return texts;
}

std::vector<ObjectReader> ObjectReader::requireObjects(std::string_view key) const {
  std::vector<ObjectReader> readers;
  const boost::json::array* array = requireArray(key);
  if (array == nullptr) return readers;
  for (const boost::json::value& element : *array) {
    const boost::json::object* object = element.if_object();
    if (object == nullptr) {
      problem_.note(key, "must hold objects");
      return {};
    }
    readers.emplace_back(*object, problem_);
  }
  return readers;
}

ObjectReader ObjectReader::requireObject(std::string_view key) const {
  const boost::json::value* value = require(key);
  const boost::json::object* object = value == nullptr ? nullptr : value->if_object();
  if (value != nullptr && object == nullptr) problem_.note(key, "must be an object");
  return {object == nullptr ? kEmptyObject : *object, problem_};
}

}  // namespace crankspur::json
