#include "gateway/request_fingerprint.h"

#include "base/hash.h"

namespace crankspur::gateway {

RequestFingerprint fingerprintOf(std::string_view host, std::string_view path, std::string_view tenant,
                                 std::string_view body) {
  const Digest128 digest = sha256Digest128({host, path, tenant, body});
  return {digest.high, digest.low};
}

RequestFingerprint partFingerprintOf(std::string_view model, std::string_view tenant, std::uint64_t part) {
  const Digest128 digest = sha256Digest128({"prompt part", model, tenant, crankspur::toHex(part)});
  return {digest.high, digest.low};
}

std::string toHex(const RequestFingerprint& fingerprint) {
  return crankspur::toHex(fingerprint.high) + crankspur::toHex(fingerprint.low);
}

}  // namespace crankspur::gateway
