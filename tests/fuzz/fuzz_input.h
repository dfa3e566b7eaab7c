#pragma once
/// @file What the fuzz targets share: their input as text, and a check that stops the run.

#include <cstdint>
#include <cstdlib>
#include <string_view>

namespace crankspur::fuzz {

inline std::string_view asText(const std::uint8_t* data, std::size_t size) {
  return {reinterpret_cast<const char*>(data), size};
}

/// Takes the text up to the first line end off the front of `text`.
inline std::string_view takeLine(std::string_view& text) {
  const std::string_view line = text.substr(0, text.find('\n'));
  text.remove_prefix(line.size() < text.size() ? line.size() + 1 : text.size());
  return line;
}

/// Stops the run with a crash, so that libFuzzer keeps the input.
inline void check(bool holds) {
  if (!holds) std::abort();
}

}  // namespace crankspur::fuzz
