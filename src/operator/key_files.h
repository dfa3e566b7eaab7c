#pragma once
/// @file Key and signature files of operators, each containing one line of base64.

#include <optional>
#include <string>

#include "bundle/signing.h"

namespace crankspur {

/// Creates a file; fails if it already exists.
/// @param owner_only whether the file is readable by its owner only.
/// @return an error message, or an empty string.
std::string writeNewFile(const std::string& path, const std::string& content, bool owner_only);

/// Writes a file, replacing an existing one.
/// @return an error message, or an empty string.
std::string writeFile(const std::string& path, const std::string& content);

/// @return the first line of the file, or nullopt if it cannot be read.
std::optional<std::string> readLine(const std::string& path);

/// @return the path of the signature file of a document.
std::string signaturePath(const std::string& document_path, SignatureRole role);

}  // namespace crankspur
