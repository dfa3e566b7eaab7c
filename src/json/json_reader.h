#pragma once
/// @file Strict reading of untrusted JSON objects. A getter records the first problem and returns an empty
/// value, so that one check at the end suffices. Unknown members are ignored, as later versions add some.

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace crankspur {

/// The first thing wrong with a document.
class JsonProblem {
public:
  /// Records "key: reason" unless a problem was recorded before.
  void note(std::string_view key, std::string_view reason);
  bool found() const { return !text_.empty(); }
  /// @return "key: reason", or an empty string.
  const std::string& text() const { return text_; }

private:
  std::string text_;
};

/// Largest 64-bit number a member may hold unless a tighter bound is given.
inline constexpr std::uint64_t kAnyUnsigned = std::numeric_limits<std::uint64_t>::max();

/// Reads members of one object, which must outlive the reader.
class JsonReader {
public:
  JsonReader(const boost::json::object& object, JsonProblem& problem) : object_(object), problem_(problem) {}

  bool has(std::string_view key) const;
  std::string requireString(std::string_view key) const;
  std::string getString(std::string_view key) const;  ///< Empty when absent.
  bool requireBool(std::string_view key) const;
  bool getBool(std::string_view key) const;  ///< False when absent.
  /// A whole number in [0, highest].
  std::uint64_t requireUnsigned(std::string_view key, std::uint64_t highest = kAnyUnsigned) const;
  std::uint64_t getUnsigned(std::string_view key, std::uint64_t fallback,
                            std::uint64_t highest = kAnyUnsigned) const;
  std::uint32_t requireUnsigned32(std::string_view key) const;
  std::uint32_t getUnsigned32(std::string_view key, std::uint32_t fallback) const;
  /// A finite number in [lowest, highest].
  double requireNumber(std::string_view key, double lowest, double highest) const;
  /// A 64-bit value of 16 lower-case hexadecimal digits.
  std::uint64_t requireHash(std::string_view key) const;
  std::vector<std::uint64_t> requireHashes(std::string_view key) const;
  std::vector<std::string> getStrings(std::string_view key) const;  ///< Empty when absent.
  /// @return readers of an array of objects.
  std::vector<JsonReader> requireObjects(std::string_view key) const;
  JsonReader requireObject(std::string_view key) const;
  /// Records a problem of the caller's own finding.
  void report(std::string_view key, std::string_view reason) const { problem_.note(key, reason); }

private:
  /// Notes a problem when `value` is empty.
  template <typename Value>
  Value valueOr(std::string_view key, std::optional<Value> value, std::string_view reason) const;
  const boost::json::array* requireArray(std::string_view key) const;

  const boost::json::object& object_;
  JsonProblem& problem_;
};

/// @return the object in `text`, or empty (with the problem noted) when it is no JSON object or nests deeper
/// than a handful of levels.
std::optional<boost::json::object> parseJsonObject(std::string_view text, JsonProblem& problem);

/// @return the value of 16 lower-case hexadecimal digits, or empty.
std::optional<std::uint64_t> parseHash(std::string_view digits);

/// @return an array of hashes as 16 hexadecimal digits each.
boost::json::array hashArray(const std::vector<std::uint64_t>& hashes);

}  // namespace crankspur
