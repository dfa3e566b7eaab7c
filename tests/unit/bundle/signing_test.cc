#include "bundle/signing.h"

#include <fmt/format.h>

#include <catch2/catch.hpp>

#include "bundle/bundle.h"

using namespace crankspur;

namespace {

std::string readDocument(std::uint64_t version) {
  const std::string path = std::string(CRANKSPUR_SOURCE_DIR) + "/examples/parts_desk/bundle.toml";
  std::string document = readFile(path).value();
  const std::string first = "version = 1\n";
  return document.replace(document.find(first), first.size(), fmt::format("version = {}\n", version));
}

struct Signers {
  SigningKeyPair author = generateSigningKeyPair();
  SigningKeyPair approver = generateSigningKeyPair();

  TrustedKeys trusted() const { return {{author.public_key}, {approver.public_key}}; }

  BundleBody sign(std::uint64_t version, const std::string& document) const {
    BundleBody body{version, document, "", ""};
    body.author_signature = signBundle(author.private_key, SignatureRole::Author, version, document).value();
    body.approver_signature =
        signBundle(approver.private_key, SignatureRole::Approver, version, document).value();
    return body;
  }
};

}  // namespace

TEST_CASE("only canonical base64 is decoded", "[bundle]") {
  for (const std::string text : {"", "a", "ab", "abc", "abcd"}) {
    CHECK(decodeBase64(encodeBase64(text)) == text);
  }
  for (const std::string bad : {"A", "AAA", "QQ==\n", " QQ==", "QR==", "====", "Q===", "QQ=Q", "Q!=="}) {
    INFO(bad);
    CHECK_FALSE(decodeBase64(bad));
  }
}

TEST_CASE("a bundle with both signatures verifies and a modified bundle or swapped signatures do not",
          "[bundle]") {
  const Signers signers;
  const BundleBody good = signers.sign(2, readDocument(2));
  std::error_code error;
  REQUIRE(verifyBundle(good, signers.trusted(), error) != nullptr);
  CHECK_FALSE(error);

  std::vector<BundleBody> forged(6, good);
  forged[0].document += "\n";
  std::swap(forged[1].author_signature, forged[1].approver_signature);
  forged[2].author_signature.clear();
  forged[3].approver_signature = "not base64";
  forged[4].approver_signature = signers.sign(2, readDocument(3)).approver_signature;
  forged[5].version = 3;
  for (const BundleBody& body : forged) {
    CHECK(verifyBundle(body, signers.trusted(), error) == nullptr);
    CHECK(error == ErrorCode::SignatureInvalid);
  }
  CHECK(verifyBundle(good, Signers().trusted(), error) == nullptr);
  CHECK(error == ErrorCode::SignatureInvalid);
}

TEST_CASE("a key cannot be both author and approver of a bundle", "[bundle]") {
  Signers shared_key_signers;
  shared_key_signers.approver = shared_key_signers.author;
  const Signers other_signers;
  const BundleBody body = shared_key_signers.sign(2, readDocument(2));
  const TrustedKeys keys{{shared_key_signers.author.public_key, other_signers.author.public_key},
                         {other_signers.approver.public_key, shared_key_signers.author.public_key}};
  std::error_code error;
  CHECK(verifyBundle(body, keys, error) == nullptr);
  CHECK(error == ErrorCode::SignatureInvalid);
}

TEST_CASE("a signed version that differs from the document's version is rejected", "[bundle]") {
  const Signers signers;
  std::error_code error;
  CHECK(verifyBundle(signers.sign(9, readDocument(2)), signers.trusted(), error) == nullptr);
  CHECK(error == ErrorCode::InvalidRequest);
}

TEST_CASE("a holder's version never decreases and invalid bodies change nothing", "[bundle]") {
  const Signers signers;
  BundleHolder holder(signers.trusted());
  CHECK(holder.version() == 0);
  CHECK_FALSE(holder.offer(signers.sign(5, readDocument(5))));
  CHECK(holder.offer(signers.sign(4, readDocument(4))) == ErrorCode::Stale);
  CHECK(holder.offer(signers.sign(5, readDocument(5))) == ErrorCode::Stale);
  CHECK(holder.offer(Signers().sign(6, readDocument(6))) == ErrorCode::SignatureInvalid);
  CHECK(holder.offer(signers.sign(6, "version = 6")) == ErrorCode::InvalidRequest);
  CHECK(holder.version() == 5);
  CHECK_FALSE(holder.offer(signers.sign(8, readDocument(8))));
  CHECK(holder.current()->bundle->version == 8);
}

TEST_CASE("invalid keys neither sign nor verify", "[bundle]") {
  CHECK_FALSE(signBundle("", SignatureRole::Author, 1, "x"));
  CHECK_FALSE(derivePublicKey("AAAA"));
  const SigningKeyPair pair = generateSigningKeyPair();
  CHECK(derivePublicKey(pair.private_key) == pair.public_key);
  const std::string statement = signedStatement(SignatureRole::Author, 1, "x");
  const std::string signature = signBundle(pair.private_key, SignatureRole::Author, 1, "x").value();
  CHECK(verifySignature(pair.public_key, statement, signature));
  CHECK_FALSE(verifySignature("AAAA", statement, signature));
}
