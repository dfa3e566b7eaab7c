#pragma once
/// @file Helpers shared by the fuzz targets: access to the input as text, and assertions.

#include <cstdint>
#include <cstdlib>
#include <string_view>

namespace crankspur::fuzz {

inline std::string_view asText(const std::uint8_t* data, std::size_t size) {
  return {reinterpret_cast<const char*>(data), size};
}

/// Removes the first line from `text`.
/// @return that line without its line feed.
inline std::string_view takeLine(std::string_view& text) {
  const std::string_view line = text.substr(0, text.find('\n'));
  text.remove_prefix(line.size() < text.size() ? line.size() + 1 : text.size());
  return line;
}

/// Aborts when the condition does not hold, so that libFuzzer stores the input.
inline void check(bool holds) {
  if (!holds) std::abort();
}

}  // namespace crankspur::fuzz
