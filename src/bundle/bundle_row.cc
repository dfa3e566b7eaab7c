#include "bundle/bundle_row.h"

#include <fmt/format.h>

#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

#include "base/hash.h"
#include "json/json_fields.h"

namespace crankspur {

namespace json = boost::json;

std::string bundleRowKey() {
  return "crankspur/bundle";
}

std::string bundleObjectKey(std::uint64_t version, std::string_view document_sha256) {
  return fmt::format("bundles/{}-{}", version, document_sha256);
}

std::string encodeBundleRow(const BundleRow& row) {
  return json::serialize(json::object{{"version", row.version},
                                      {"document_sha256", row.document_sha256},
                                      {"author_signature", row.author_signature},
                                      {"approver_signature", row.approver_signature},
                                      {"rolled_by", row.rolled_by},
                                      {"roll_token", row.roll_token}});
}

std::optional<BundleRow> parseBundleRow(std::string_view text) {
  const std::optional<json::object> object = parseJsonObject(text);
  if (!object) {
    return std::nullopt;
  }
  const auto version = unsignedField(*object, "version");
  const auto digest = stringField(*object, "document_sha256");
  const auto author = stringField(*object, "author_signature");
  const auto approver = stringField(*object, "approver_signature");
  const auto rolled_by = stringField(*object, "rolled_by");
  const auto roll_token = stringField(*object, "roll_token");
  if (!version || *version == 0 || !digest || !author || !approver || !rolled_by || !roll_token) {
    return std::nullopt;
  }
  return BundleRow{*version, *digest, *author, *approver, *rolled_by, *roll_token};
}

std::optional<BundleBody> bundleBodyFromRow(const BundleRow& row, std::string document) {
  if (sha256Hex(document) != row.document_sha256) {
    return std::nullopt;
  }
  return BundleBody{row.version, std::move(document), row.author_signature, row.approver_signature};
}

}  // namespace crankspur
