#include "router_process/bundle_row.h"

#include <fmt/format.h>

#include "json/json_fields.h"

namespace crankspur {

std::optional<AcceptedBundle> decodeBundleRow(std::string_view text) {
  const auto object = parseJsonObject(text);
  if (!object) return std::nullopt;
  const auto version = unsignedField(*object, "version");
  const auto digest = stringField(*object, "document_sha256");
  const auto author = stringField(*object, "author_signature");
  const auto approver = stringField(*object, "approver_signature");
  if (!version || !digest || !author || !approver) return std::nullopt;
  AcceptedBundle accepted;
  accepted.body.version = *version;
  accepted.body.author_signature = *author;
  accepted.body.approver_signature = *approver;
  accepted.object_key = fmt::format("bundles/{}-{}", *version, *digest);
  return accepted;
}

}  // namespace crankspur
