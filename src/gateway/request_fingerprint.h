#pragma once
/// @file What tells that two client attempts are the same request: attempts have ids of their own.

#include <cstdint>
#include <string>
#include <string_view>
#include <tuple>

namespace crankspur::gateway {

/// Identity of a request, equal in all attempts of it at all gateways. 128 bits of a SHA-256 digest: a caller
/// cannot make a body whose fingerprint is that of another caller's request, so that no evidence against a
/// request can be aimed at somebody else's.
struct RequestFingerprint {
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  friend bool operator==(const RequestFingerprint&, const RequestFingerprint&) = default;
  friend bool operator<(const RequestFingerprint& left, const RequestFingerprint& right) {
    return std::tie(left.high, left.low) < std::tie(right.high, right.low);
  }
  template <typename H>
  friend H AbslHashValue(H state, const RequestFingerprint& value) {
    return H::combine(std::move(state), value.high, value.low);
  }
};

/// @param tenant of the caller, so that a rotated key changes nothing; empty on routes that need none.
RequestFingerprint fingerprintOf(std::string_view host, std::string_view path, std::string_view tenant,
                                 std::string_view body);

/// @return the fingerprint as 32 hexadecimal digits, as it stands in logs.
std::string toHex(const RequestFingerprint& fingerprint);

}  // namespace crankspur::gateway
