#pragma once
/// @file Strict reading of untrusted JSON objects. Getters record the first problem and return an empty value
/// on failure, so one check at the end suffices. Unknown members are ignored: later versions may add some.

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace crankspur {

/// The first problem found in a document.
class JsonProblem {
public:
  /// Records "key: reason" unless a problem has already been recorded.
  void record(std::string_view key, std::string_view reason);
  bool found() const { return !text_.empty(); }
  /// @return "key: reason", or an empty string.
  const std::string& text() const { return text_; }

private:
  std::string text_;
};

/// Default upper bound of an unsigned member.
inline constexpr std::uint64_t kMaxUnsigned64 = std::numeric_limits<std::uint64_t>::max();

/// Reads members of one object, which must outlive the reader.
class JsonReader {
public:
  JsonReader(const boost::json::object& object, JsonProblem& problem) : object_(object), problem_(problem) {}

  bool has(std::string_view key) const;
  std::string requireString(std::string_view key) const;
  std::string getString(std::string_view key) const;  ///< Empty when absent.
  bool requireBool(std::string_view key) const;
  bool getBool(std::string_view key) const;  ///< False when absent.
  /// An integer in [0, max].
  std::uint64_t requireUnsigned(std::string_view key, std::uint64_t max = kMaxUnsigned64) const;
  std::uint64_t getUnsigned(std::string_view key, std::uint64_t fallback,
                            std::uint64_t max = kMaxUnsigned64) const;
  std::uint32_t requireUnsigned32(std::string_view key) const;
  std::uint32_t getUnsigned32(std::string_view key, std::uint32_t fallback) const;
  /// A finite number in [min, max].
  double requireNumber(std::string_view key, double min, double max) const;
  /// A 64-bit value written as 16 lower-case hexadecimal digits.
  std::uint64_t requireHash(std::string_view key) const;
  std::vector<std::uint64_t> requireHashes(std::string_view key) const;
  std::vector<std::string> getStrings(std::string_view key) const;  ///< Empty when absent.
  /// @return one reader for each object of an array.
  std::vector<JsonReader> requireObjects(std::string_view key) const;
  JsonReader requireObject(std::string_view key) const;
  /// Records a problem that the caller found.
  void report(std::string_view key, std::string_view reason) const { problem_.record(key, reason); }

private:
  /// @return `value`, or a default after recording a problem when it is empty.
  template <typename Value>
  Value valueOr(std::string_view key, std::optional<Value> value, std::string_view reason) const;
  const boost::json::array* requireArray(std::string_view key) const;

  const boost::json::object& object_;
  JsonProblem& problem_;
};

/// @return the object in `text`; empty, after recording a problem, when it is not a JSON object or nests too
/// deeply.
std::optional<boost::json::object> parseJsonObject(std::string_view text, JsonProblem& problem);

/// @return the value of 16 lower-case hexadecimal digits, or empty.
std::optional<std::uint64_t> parseHash(std::string_view digits);

/// @return the hashes as an array of strings of 16 hexadecimal digits.
boost::json::array hashesToJson(const std::vector<std::uint64_t>& hashes);

}  // namespace crankspur
