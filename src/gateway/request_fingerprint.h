#pragma once
/// @file Identifies client attempts of the same request, which have different request ids.

#include <cstdint>
#include <string>
#include <string_view>
#include <tuple>

namespace crankspur::gateway {

/// Identity of a request, equal for all its attempts at all gateways. It is 128 bits of a SHA-256 digest, so
/// that a caller cannot craft a body with the fingerprint of another caller's request and cause evidence
/// against that request.
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

/// @param tenant of the caller, rather than its API key, so that key rotation does not change the
/// fingerprint; empty on routes that need none.
RequestFingerprint fingerprintOf(std::string_view host, std::string_view path, std::string_view tenant,
                                 std::string_view body);

/// Identifies a part of a prompt. Weights are not part of its identity: a part that crashes the software of
/// the back ends is not acquitted by other weights.
/// @param tenant whose requests share no cached prefix with others; empty: the part is shared by all tenants.
RequestFingerprint partFingerprintOf(std::string_view model, std::string_view tenant, std::uint64_t part);

/// @return the fingerprint as 32 hexadecimal digits, the form used in logs.
std::string toHex(const RequestFingerprint& fingerprint);

}  // namespace crankspur::gateway
