#pragma once
/// @file Key and signature files of operators: one line of base64 each.

#include <optional>
#include <string>

#include "bundle/signing.h"

namespace crankspur {

/// Writes a file that must not exist yet.
/// @param owner_only whether only the owner may read it.
/// @return empty, or why it could not be written.
std::string writeNewFile(const std::string& path, const std::string& content, bool owner_only);

/// Writes a file, replacing an earlier one.
/// @return empty, or why it could not be written.
std::string writeFile(const std::string& path, const std::string& content);

/// @return the first line of the file, or empty when it cannot be read.
std::optional<std::string> readLine(const std::string& path);

/// @return the path of a document's signature.
std::string signaturePath(const std::string& document_path, SignatureRole role);

}  // namespace crankspur
