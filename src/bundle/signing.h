#pragma once
/// @file Ed25519 signatures over bundle documents. Source: OpenSSL.
/// What is signed is not the document but a statement that names the purpose, the signer's role, the version
/// and the document's SHA-256, so that a signature serves in no other role, version or protocol.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace crankspur {

/// In which role a key signs.
enum class SignatureRole { Author, Approver };

/// An Ed25519 key pair; both halves are base64 of 32 raw bytes.
struct SigningKeyPair {
  std::string private_key;
  std::string public_key;
};

/// @return `bytes` in base64 with padding.
std::string encodeBase64(std::string_view bytes);

/// @return the bytes, or empty unless `text` is exactly what encodeBase64 gives for them.
std::optional<std::string> decodeBase64(std::string_view text);

/// @return a new random key pair.
SigningKeyPair generateSigningKeyPair();

/// @return the public key of a private one, or empty when `private_key` is no key.
std::optional<std::string> publicKeyOf(const std::string& private_key);

/// @return the statement that a signature covers.
std::string signedStatement(SignatureRole role, std::uint64_t version, std::string_view document);

/// @return the base64 signature, or empty when `private_key` is no key.
std::optional<std::string> signBundle(const std::string& private_key, SignatureRole role,
                                      std::uint64_t version, std::string_view document);

/// @param statement what signedStatement() gave.
/// @return whether `signature` (base64) is that of `public_key` (base64) over the statement.
bool verifySignature(const std::string& public_key, std::string_view statement, const std::string& signature);

}  // namespace crankspur
