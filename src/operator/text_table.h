#pragma once
/// @file Plain text tables with aligned columns.

#include <string>
#include <vector>

namespace crankspur {

/// The cells of one line.
using TableLine = std::vector<std::string>;

/// @return the lines, each terminated by a line feed, with columns padded to the width of their widest cell.
std::string formatTable(const std::vector<TableLine>& lines);

}  // namespace crankspur
