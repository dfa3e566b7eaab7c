#pragma once
/// @file Shortest edit script between two sequences of lines.

#include <cstddef>
#include <optional>
#include <string_view>
#include <vector>

namespace crankspur {

/// Lines including their line feeds; the last line may lack it. Views into the original text.
using Lines = std::vector<std::string_view>;

/// @return the lines of `text`; their concatenation is the text.
Lines splitLines(std::string_view text);

/// A hunk of an edit script: lines kept, then lines dropped, then lines inserted from the new text.
struct LineEdit {
  std::size_t keep = 0;
  std::size_t drop = 0;
  std::size_t insert = 0;
};

/// @return the shortest edit script, or empty when it needs more than `max_edits` drops and inserts.
std::optional<std::vector<LineEdit>> diffLines(const Lines& before, const Lines& after,
                                               std::size_t max_edits);

}  // namespace crankspur
