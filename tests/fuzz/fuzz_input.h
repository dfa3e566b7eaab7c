#pragma once
/// @file Helpers shared by the fuzz targets: access to the input as text, and assertions.

#include <cstdint>
#include <cstdlib>
#include <string>
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

/// Lets short inputs hold values above the limits of 16 bits: the byte 0xFF, a count and another byte become
/// that byte, 1,024 times the count. A text ends at 512 KiB.
inline std::string expand(std::string_view text) {
  constexpr std::size_t kMaxBytes = std::size_t{512} * 1024;
  constexpr std::size_t kUnit = 1024;
  std::string expanded;
  for (std::size_t index = 0; index < text.size() && expanded.size() < kMaxBytes; ++index) {
    const bool repeats = text[index] == '\xff' && index + 2 < text.size();
    if (!repeats) {
      expanded += text[index];
      continue;
    }
    const auto count = static_cast<std::uint8_t>(text[index + 1]);
    expanded.append(kUnit * count, text[index + 2]);
    index += 2;
  }
  return expanded.substr(0, kMaxBytes);
}

/// Aborts when the condition does not hold, so that libFuzzer stores the input.
inline void check(bool holds) {
  if (!holds) std::abort();
}

}  // namespace crankspur::fuzz
