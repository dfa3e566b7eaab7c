#include "base/hash.h"

#include <fmt/format.h>
#include <openssl/evp.h>
#include <openssl/sha.h>
#include <xxhash.h>

#include <array>
#include <cstring>
#include <memory>

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

Digest128 sha256Digest128(std::initializer_list<std::string_view> fields) {
  const std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)> context(EVP_MD_CTX_new(), EVP_MD_CTX_free);
  EVP_DigestInit_ex(context.get(), EVP_sha256(), nullptr);
  for (const std::string_view field : fields) {
    const std::uint64_t length = field.size();
    EVP_DigestUpdate(context.get(), &length, sizeof(length));
    EVP_DigestUpdate(context.get(), field.data(), field.size());
  }
  std::array<unsigned char, SHA256_DIGEST_LENGTH> bytes{};
  EVP_DigestFinal_ex(context.get(), bytes.data(), nullptr);
  Digest128 digest;
  std::memcpy(&digest.high, bytes.data(), sizeof(digest.high));
  std::memcpy(&digest.low, bytes.data() + sizeof(digest.high), sizeof(digest.low));
  return digest;
}

std::string toHex(std::uint64_t value) {
  return fmt::format("{:016x}", value);
}

}  // namespace crankspur
