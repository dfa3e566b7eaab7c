#include "bundle/signing.h"

#include <fmt/format.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>

#include <cstdlib>
#include <memory>
#include <vector>

#include "base/hash.h"

namespace crankspur {

namespace {

constexpr std::size_t kKeyBytes = 32;
constexpr std::size_t kSignatureBytes = 64;

struct KeyDeleter {
  void operator()(EVP_PKEY* key) const { EVP_PKEY_free(key); }
};
using Key = std::unique_ptr<EVP_PKEY, KeyDeleter>;

struct DigestContextDeleter {
  void operator()(EVP_MD_CTX* context) const { EVP_MD_CTX_free(context); }
};
using DigestContext = std::unique_ptr<EVP_MD_CTX, DigestContextDeleter>;

const unsigned char* asBytes(std::string_view text) {
  return reinterpret_cast<const unsigned char*>(text.data());
}

unsigned char* asBytes(std::string& text) {
  return reinterpret_cast<unsigned char*>(text.data());
}

/// @return the raw key, or empty unless `text` is the base64 of 32 bytes.
std::optional<std::string> decodeKey(const std::string& text) {
  std::optional<std::string> raw = decodeBase64(text);
  if (!raw || raw->size() != kKeyBytes) {
    return std::nullopt;
  }
  return raw;
}

Key loadPrivateKey(const std::string& text) {
  const std::optional<std::string> raw = decodeKey(text);
  if (!raw) {
    return nullptr;
  }
  return Key(EVP_PKEY_new_raw_private_key(EVP_PKEY_ED25519, nullptr, asBytes(*raw), raw->size()));
}

Key loadPublicKey(const std::string& text) {
  const std::optional<std::string> raw = decodeKey(text);
  if (!raw) {
    return nullptr;
  }
  return Key(EVP_PKEY_new_raw_public_key(EVP_PKEY_ED25519, nullptr, asBytes(*raw), raw->size()));
}

/// Aborts when a call failed that can only fail with a broken OpenSSL installation.
void requireSuccess(bool success) {
  if (!success) {
    std::abort();
  }
}

std::string exportPublicKey(EVP_PKEY* key) {
  std::string raw(kKeyBytes, '\0');
  std::size_t size = raw.size();
  requireSuccess(EVP_PKEY_get_raw_public_key(key, asBytes(raw), &size) == 1);
  return encodeBase64(raw);
}

const char* roleName(SignatureRole role) {
  return role == SignatureRole::Author ? "author" : "approver";
}

}  // namespace

std::string encodeBase64(std::string_view bytes) {
  std::string text((bytes.size() + 2) / 3 * 4 + 1, '\0');  // EVP_EncodeBlock writes a terminator.
  const int size = EVP_EncodeBlock(asBytes(text), asBytes(bytes), static_cast<int>(bytes.size()));
  text.resize(static_cast<std::size_t>(size));
  return text;
}

std::optional<std::string> decodeBase64(std::string_view text) {
  if (text.size() % 4 != 0) {
    return std::nullopt;
  }
  std::string bytes(text.size() / 4 * 3, '\0');
  const int size = EVP_DecodeBlock(asBytes(bytes), asBytes(text), static_cast<int>(text.size()));
  if (size < 0) {
    return std::nullopt;
  }
  const std::size_t padding = text.empty() ? 0 : text.size() - (text.find_last_not_of('=') + 1);
  if (padding > 2) {
    return std::nullopt;
  }
  bytes.resize(static_cast<std::size_t>(size) - padding);
  if (encodeBase64(bytes) != text) {
    return std::nullopt;
  }
  return bytes;
}

SigningKeyPair generateSigningKeyPair() {
  const Key key(EVP_PKEY_Q_keygen(nullptr, nullptr, "ED25519"));
  requireSuccess(key != nullptr);
  std::string raw(kKeyBytes, '\0');
  std::size_t size = raw.size();
  requireSuccess(EVP_PKEY_get_raw_private_key(key.get(), asBytes(raw), &size) == 1);
  SigningKeyPair pair{encodeBase64(raw), exportPublicKey(key.get())};
  OPENSSL_cleanse(raw.data(), raw.size());
  return pair;
}

std::optional<std::string> derivePublicKey(const std::string& private_key) {
  const Key key = loadPrivateKey(private_key);
  if (key == nullptr) {
    return std::nullopt;
  }
  return exportPublicKey(key.get());
}

std::string signedStatement(SignatureRole role, std::uint64_t version, std::string_view document) {
  return fmt::format("crankspur bundle signature 1\nrole {}\nversion {}\nsha256 {}\n", roleName(role),
                     version, sha256Hex(document));
}

std::optional<std::string> signBundle(const std::string& private_key, SignatureRole role,
                                      std::uint64_t version, std::string_view document) {
  const Key key = loadPrivateKey(private_key);
  if (key == nullptr) {
    return std::nullopt;
  }
  const std::string statement = signedStatement(role, version, document);
  const DigestContext context(EVP_MD_CTX_new());
  requireSuccess(EVP_DigestSignInit(context.get(), nullptr, nullptr, nullptr, key.get()) == 1);
  std::string signature(kSignatureBytes, '\0');
  std::size_t size = signature.size();
  requireSuccess(
      EVP_DigestSign(context.get(), asBytes(signature), &size, asBytes(statement), statement.size()) == 1);
  return encodeBase64(signature);
}

bool verifySignature(const std::string& public_key, std::string_view statement,
                     const std::string& signature) {
  const Key key = loadPublicKey(public_key);
  const std::optional<std::string> raw = decodeBase64(signature);
  if (key == nullptr || !raw || raw->size() != kSignatureBytes) {
    return false;
  }
  const DigestContext context(EVP_MD_CTX_new());
  requireSuccess(EVP_DigestVerifyInit(context.get(), nullptr, nullptr, nullptr, key.get()) == 1);
  return EVP_DigestVerify(context.get(), asBytes(*raw), raw->size(), asBytes(statement), statement.size()) ==
         1;
}

}  // namespace crankspur
