#pragma once
/// @file Shortest edit script between two sequences of lines.

#include <cstddef>
#include <optional>
#include <string_view>
#include <vector>

namespace crankspur {

/// Lines with their line feeds; the last one may lack it. Views into the text.
using Lines = std::vector<std::string_view>;

/// @return the lines of `text`; joined they are the text.
Lines splitLines(std::string_view text);

/// A stretch of an edit script: lines kept, then lines dropped, then lines inserted from the new text.
struct LineEdit {
  std::size_t keep = 0;
  std::size_t drop = 0;
  std::size_t insert = 0;
};

/// @return the edit script, or empty when it needs more than `maximum_edits` drops and inserts.
std::optional<std::vector<LineEdit>> diffLines(const Lines& before, const Lines& after,
                                               std::size_t maximum_edits);

}  // namespace crankspur
