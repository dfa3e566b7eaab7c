/// @file Fuzz target for signatures. The first three lines of the input are a base64 text, the author's and
/// the approver's signature; the rest is the document. No input may verify, because the private keys are
/// unknown.

#include "bundle/bundle.h"
#include "bundle/signing.h"
#include "fuzz_input.h"

using namespace crankspur;

namespace {

/// @return public keys that were chosen without corresponding private keys.
TrustedKeys makeKeys() {
  TrustedKeys keys;
  keys.authors = {encodeBase64(std::string(31, '\x5a') + '\x15')};
  keys.approvers = {encodeBase64(std::string(31, '\x33') + '\x21')};
  return keys;
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  static const TrustedKeys keys = makeKeys();
  std::string_view rest = fuzz::asText(data, size);
  const std::string_view base64 = fuzz::takeLine(rest);
  const std::optional<std::string> bytes = decodeBase64(base64);
  if (bytes) fuzz::check(encodeBase64(*bytes) == base64);
  BundleBody body;
  body.version = size;
  body.author_signature = std::string(fuzz::takeLine(rest));
  body.approver_signature = std::string(fuzz::takeLine(rest));
  body.document = std::string(rest);
  std::error_code error;
  fuzz::check(verifyBundle(body, keys, error) == nullptr);
  fuzz::check(static_cast<bool>(error));
  verifySignature(std::string(base64), rest, body.author_signature);
  return 0;
}
