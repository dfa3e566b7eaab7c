#include "base/hash.h"

#include <fmt/format.h>
#include <openssl/sha.h>
#include <xxhash.h>

namespace crankspur {

std::uint64_t hashBytes(std::string_view bytes, std::uint64_t seed) {
  return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

std::uint64_t combineHashes(std::uint64_t first, std::uint64_t second) {
  return XXH3_64bits_withSeed(&second, sizeof(second), first);
}

std::string sha256Hex(std::string_view bytes) {
  unsigned char digest[SHA256_DIGEST_LENGTH];
  SHA256(reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(), digest);
  std::string text;
  for (const unsigned char byte : digest) text += fmt::format("{:02x}", byte);
  return text;
}

std::string toHex(std::uint64_t value) {
  return fmt::format("{:016x}", value);
}

}  // namespace crankspur
