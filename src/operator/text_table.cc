#include "operator/text_table.h"

#include <fmt/format.h>

#include <algorithm>

namespace crankspur {

namespace {

std::vector<std::size_t> columnWidths(const std::vector<TableLine>& lines) {
  std::vector<std::size_t> widths;
  for (const TableLine& line : lines) {
    widths.resize(std::max(widths.size(), line.size()));
    for (std::size_t column = 0; column < line.size(); ++column) {
      widths[column] = std::max(widths[column], line[column].size());
    }
  }
  return widths;
}

}  // namespace

std::string formatTable(const std::vector<TableLine>& lines) {
  constexpr std::size_t kColumnGap = 2;
  const std::vector<std::size_t> widths = columnWidths(lines);
  std::string text;
  for (const TableLine& line : lines) {
    std::string padded;
    for (std::size_t column = 0; column < line.size(); ++column) {
      padded += fmt::format("{:<{}}", line[column], widths[column] + kColumnGap);
    }
    padded.erase(padded.find_last_not_of(' ') + 1);
    text += padded + "\n";
  }
  return text;
}

}  // namespace crankspur
