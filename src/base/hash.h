#pragma once
/// @file Hash functions (XXH3, SHA-256). Source: xxHash library and OpenSSL.

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace crankspur {

/// @return the 64-bit XXH3 hash of `bytes` with `seed`. Not for security.
std::uint64_t hashBytes(std::string_view bytes, std::uint64_t seed = 0);

/// Mixes the bits of `value` bijectively, so that sums of mixed values can serve as digests of sets. Source:
/// finalizer of SplitMix64.
constexpr std::uint64_t mixBits(std::uint64_t value) {
  value += 0x9e3779b97f4a7c15ULL;
  value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
  value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
  return value ^ (value >> 31);
}

/// @return the hash of an ordered pair of hashes.
std::uint64_t combineHashes(std::uint64_t first, std::uint64_t second);

/// @return the SHA-256 digest of `bytes` as 64 lower-case hexadecimal digits.
std::string sha256Hex(std::string_view bytes);

/// The first 128 bits of a digest.
struct Digest128 {
  std::uint64_t high = 0;
  std::uint64_t low = 0;
};

/// @return the first 128 bits of the SHA-256 digest of `fields`. Each field is preceded by its length, so
/// that different lists of fields never hash the same bytes.
Digest128 sha256Digest128(std::initializer_list<std::string_view> fields);

/// @return `value` as 16 lower-case hexadecimal digits.
std::string toHex(std::uint64_t value);

}  // namespace crankspur
