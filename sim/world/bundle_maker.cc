#include "sim/world/bundle_maker.h"

#include <fmt/format.h>

#include "base/hash.h"
#include "bundle/signing.h"

namespace crankspur::sim {

namespace {

/// Fixed keys keep a run of one seed identical on every machine.
const std::string kAuthorKey = encodeBase64("simulation author key, 32 bytes.");
const std::string kApproverKey = encodeBase64("simulation approver key,32 bytes");

std::string makeDocument(const Site& site, const BundleContent& content) {
  std::string document =
      fmt::format("# {}\nversion = {}\nsite = \"{}\"\n", content.remark, content.version, site.name);
  document += fmt::format(
      "[[models]]\nname = \"{}\"\nweights_version = \"{}\"\npools = [\"language\"]\n"
      "adapters = [\"reviews\"]\n",
      kModel, content.weights);
  if (site.claim_group_size > 0) {
    document += fmt::format("[knobs]\nclaim_group_size = {}\nclaim_lifetime_s = {}\n", site.claim_group_size,
                            std::chrono::duration_cast<std::chrono::seconds>(site.claim_lifetime).count());
  }
  document += "[[operations]]\nname = \"order\"\npools = [\"application\"]\nrepeatable = false\n";
  document += "[[operations]]\nname = \"stock\"\npools = [\"application\"]\nrepeatable = true\n";
  for (const std::string& tenant : site.tenants) {
    document += fmt::format(
        "[[tenants]]\nname = \"{}\"\napi_key_sha256 = [\"{}\"]\nmodels = [\"{}\"]\n"
        "operations = [\"order\", \"stock\"]\nretry_budget = {:.1f}\n",
        tenant, sha256Hex(tenant), kModel, site.retry_budget);
  }
  return document;
}

}  // namespace

TrustedKeys trustedKeys() {
  static const TrustedKeys keys = {{derivePublicKey(kAuthorKey).value()},
                                   {derivePublicKey(kApproverKey).value()}};
  return keys;
}

BundleBody makeBundle(const Site& site, const BundleContent& content) {
  BundleBody body;
  body.version = content.version;
  body.document = makeDocument(site, content);
  body.author_signature = signBundle(kAuthorKey, SignatureRole::Author, body.version, body.document).value();
  body.approver_signature =
      signBundle(kApproverKey, SignatureRole::Approver, body.version, body.document).value();
  return body;
}

}  // namespace crankspur::sim
