#pragma once
/// @file Plain text tables with aligned columns.

#include <string>
#include <vector>

namespace crankspur {

/// Cells of one line.
using TableLine = std::vector<std::string>;

/// @return the lines with columns padded to their widest cell, each ended by a line feed.
std::string formatTable(const std::vector<TableLine>& lines);

}  // namespace crankspur
