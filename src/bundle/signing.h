#pragma once
/// @file Ed25519 signatures of bundle documents, based on OpenSSL.
/// The signature covers a statement of the purpose, the signer's role, the version and the document's SHA-256
/// instead of the document, so that it cannot be reused for another role, version or protocol.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace crankspur {

/// Role in which a key signs.
enum class SignatureRole { Author, Approver };

/// An Ed25519 key pair; both keys are base64 of 32 raw bytes.
struct SigningKeyPair {
  std::string private_key;
  std::string public_key;
};

/// @return `bytes` in base64 with padding.
std::string encodeBase64(std::string_view bytes);

/// @return the decoded bytes, or empty unless `text` is the canonical encoding that encodeBase64() produces.
std::optional<std::string> decodeBase64(std::string_view text);

/// @return a new random key pair.
SigningKeyPair generateSigningKeyPair();

/// @return the public key that belongs to `private_key`, or empty when `private_key` is invalid.
std::optional<std::string> derivePublicKey(const std::string& private_key);

/// @return the statement that a signature covers.
std::string signedStatement(SignatureRole role, std::uint64_t version, std::string_view document);

/// @return the base64 signature, or empty when `private_key` is invalid.
std::optional<std::string> signBundle(const std::string& private_key, SignatureRole role,
                                      std::uint64_t version, std::string_view document);

/// @param statement result of signedStatement().
/// @return whether `signature` (base64) is valid for the statement and `public_key` (base64).
bool verifySignature(const std::string& public_key, std::string_view statement, const std::string& signature);

}  // namespace crankspur
