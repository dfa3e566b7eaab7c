#include "bundle/signing.h"

#include <fmt/format.h>

#include <catch2/catch.hpp>

#include "bundle/bundle.h"

using namespace crankspur;

namespace {

std::string documentOf(std::uint64_t version) {
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

TEST_CASE("base64 decodes only its own canonical form", "[bundle]") {
  for (const std::string text : {"", "a", "ab", "abc", "abcd"}) {
    CHECK(decodeBase64(encodeBase64(text)) == text);
  }
  for (const std::string bad : {"A", "AAA", "QQ==\n", " QQ==", "QR==", "====", "Q===", "QQ=Q", "Q!=="}) {
    INFO(bad);
    CHECK_FALSE(decodeBase64(bad));
  }
}

TEST_CASE("a bundle with both signatures verifies; a changed or swapped one does not", "[bundle]") {
  const Signers signers;
  const BundleBody good = signers.sign(2, documentOf(2));
  std::error_code error;
  REQUIRE(verifyBundle(good, signers.trusted(), error) != nullptr);
  CHECK_FALSE(error);

  std::vector<BundleBody> forged(6, good);
  forged[0].document += "\n";
  std::swap(forged[1].author_signature, forged[1].approver_signature);
  forged[2].author_signature.clear();
  forged[3].approver_signature = "not base64";
  forged[4].approver_signature = signers.sign(2, documentOf(3)).approver_signature;
  forged[5].version = 3;
  for (const BundleBody& body : forged) {
    CHECK(verifyBundle(body, signers.trusted(), error) == nullptr);
    CHECK(error == ErrorCode::SignatureInvalid);
  }
  CHECK(verifyBundle(good, Signers().trusted(), error) == nullptr);
  CHECK(error == ErrorCode::SignatureInvalid);
}

TEST_CASE("one key cannot be author and approver of the same bundle", "[bundle]") {
  Signers one;
  one.approver = one.author;
  const Signers other;
  const BundleBody body = one.sign(2, documentOf(2));
  const TrustedKeys both{{one.author.public_key, other.author.public_key},
                         {other.approver.public_key, one.author.public_key}};
  std::error_code error;
  CHECK(verifyBundle(body, both, error) == nullptr);
  CHECK(error == ErrorCode::SignatureInvalid);
}

TEST_CASE("a signed version that the document does not state is refused", "[bundle]") {
  const Signers signers;
  std::error_code error;
  CHECK(verifyBundle(signers.sign(9, documentOf(2)), signers.trusted(), error) == nullptr);
  CHECK(error == ErrorCode::InvalidRequest);
}

TEST_CASE("a holder's version never goes back and bad bodies change nothing", "[bundle]") {
  const Signers signers;
  BundleHolder holder(signers.trusted());
  CHECK(holder.version() == 0);
  CHECK_FALSE(holder.offer(signers.sign(5, documentOf(5))));
  CHECK(holder.offer(signers.sign(4, documentOf(4))) == ErrorCode::Stale);
  CHECK(holder.offer(signers.sign(5, documentOf(5))) == ErrorCode::Stale);
  CHECK(holder.offer(Signers().sign(6, documentOf(6))) == ErrorCode::SignatureInvalid);
  CHECK(holder.offer(signers.sign(6, "version = 6")) == ErrorCode::InvalidRequest);
  CHECK(holder.version() == 5);
  CHECK_FALSE(holder.offer(signers.sign(8, documentOf(8))));
  CHECK(holder.current()->bundle->version == 8);
}

TEST_CASE("keys that are no keys sign nothing and verify nothing", "[bundle]") {
  CHECK_FALSE(signBundle("", SignatureRole::Author, 1, "x"));
  CHECK_FALSE(publicKeyOf("AAAA"));
  const SigningKeyPair pair = generateSigningKeyPair();
  CHECK(publicKeyOf(pair.private_key) == pair.public_key);
  const std::string statement = signedStatement(SignatureRole::Author, 1, "x");
  const std::string signature = signBundle(pair.private_key, SignatureRole::Author, 1, "x").value();
  CHECK(verifySignature(pair.public_key, statement, signature));
  CHECK_FALSE(verifySignature("AAAA", statement, signature));
}
