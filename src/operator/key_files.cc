#include "operator/key_files.h"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>

#include "settings/toml_reader.h"

namespace crankspur {

namespace {

constexpr mode_t kOwnerOnlyMode = 0600;
constexpr mode_t kWorldReadableMode = 0644;

/// @return an error message, or an empty string.
std::string writeAll(const std::string& path, const std::string& content, int flags, mode_t mode) {
  const int file = ::open(path.c_str(), O_WRONLY | O_CREAT | O_CLOEXEC | flags, mode);
  if (file < 0) {
    return std::strerror(errno);
  }
  const ssize_t written = ::write(file, content.data(), content.size());
  std::string problem = written == static_cast<ssize_t>(content.size()) ? "" : "the write was cut short";
  if (::close(file) != 0 && problem.empty()) {
    return std::strerror(errno);
  }
  return problem;
}

}  // namespace

std::string writeNewFile(const std::string& path, const std::string& content, bool owner_only) {
  return writeAll(path, content, O_EXCL, owner_only ? kOwnerOnlyMode : kWorldReadableMode);
}

std::string writeFile(const std::string& path, const std::string& content) {
  return writeAll(path, content, O_TRUNC, kWorldReadableMode);
}

std::optional<std::string> readLine(const std::string& path) {
  const std::optional<std::string> content = readFile(path);
  if (!content) {
    return std::nullopt;
  }
  return content->substr(0, content->find('\n'));
}

std::string signaturePath(const std::string& document_path, SignatureRole role) {
  return document_path + (role == SignatureRole::Author ? ".author.sig" : ".approver.sig");
}

}  // namespace crankspur
