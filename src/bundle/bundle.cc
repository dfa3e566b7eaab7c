#include "bundle/bundle.h"

#include <algorithm>

#include "base/hash.h"
#include "bundle/signing.h"

namespace crankspur {

namespace {

template <typename Entry>
const Entry* findEntry(const std::vector<Entry>& entries, const BundleIndex::Positions& positions,
                       std::string_view name) {
  const auto found = positions.find(absl::string_view(name.data(), name.size()));
  return found == positions.end() ? nullptr : &entries[found->second];
}

/// Looks up an entry in the index, or by a scan when the index has not been built.
template <typename Entry>
const Entry* findByName(const std::vector<Entry>& entries, const BundleIndex::Positions& positions,
                        std::string_view name) {
  if (!positions.empty()) {
    return findEntry(entries, positions, name);
  }
  const auto has_name = [name](const Entry& entry) { return entry.name == name; };
  const auto found = std::find_if(entries.begin(), entries.end(), has_name);
  return found == entries.end() ? nullptr : &*found;
}

template <typename Entry>
BundleIndex::Positions positionsByName(const std::vector<Entry>& entries) {
  BundleIndex::Positions positions;
  for (std::size_t position = 0; position < entries.size(); ++position) {
    positions.emplace(entries[position].name, position);
  }
  return positions;
}

BundleIndex::Positions positionsByKey(const std::vector<TenantPolicy>& tenants) {
  BundleIndex::Positions positions;
  for (std::size_t position = 0; position < tenants.size(); ++position) {
    for (const std::string& key : tenants[position].api_key_sha256) {
      positions.emplace(key, position);
    }
  }
  return positions;
}

/// @return the trusted key other than `excluded` that verifies the signature, or nullptr.
const std::string* findSigner(const std::vector<std::string>& trusted, std::string_view statement,
                              const std::string& signature, const std::string& excluded) {
  for (const std::string& key : trusted) {
    if (key != excluded && verifySignature(key, statement, signature)) {
      return &key;
    }
  }
  return nullptr;
}

bool signaturesVerify(const BundleBody& body, const TrustedKeys& keys) {
  const std::string author_statement = signedStatement(SignatureRole::Author, body.version, body.document);
  const std::string* author = findSigner(keys.authors, author_statement, body.author_signature, "");
  if (author == nullptr) {
    return false;
  }
  const std::string approver_statement =
      signedStatement(SignatureRole::Approver, body.version, body.document);
  return findSigner(keys.approvers, approver_statement, body.approver_signature, *author) != nullptr;
}

}  // namespace

void Bundle::buildIndex() {
  index.tenants = positionsByName(tenants);
  index.tenants_by_key = positionsByKey(tenants);
  index.models = positionsByName(models);
  index.operations = positionsByName(operations);
}

const TenantPolicy* Bundle::findTenant(std::string_view name) const {
  return findByName(tenants, index.tenants, name);
}

const ModelPolicy* Bundle::findModel(std::string_view name) const {
  return findByName(models, index.models, name);
}

const OperationPolicy* Bundle::findOperation(std::string_view name) const {
  return findByName(operations, index.operations, name);
}

const TenantPolicy* Bundle::findTenantByKey(std::string_view api_key) const {
  const std::string digest = sha256Hex(api_key);
  if (!index.tenants_by_key.empty()) {
    return findEntry(tenants, index.tenants_by_key, digest);
  }
  for (const TenantPolicy& tenant : tenants) {
    const std::vector<std::string>& keys = tenant.api_key_sha256;
    if (std::find(keys.begin(), keys.end(), digest) != keys.end()) {
      return &tenant;
    }
  }
  return nullptr;
}

std::shared_ptr<const SignedBundle> verifyBundle(const BundleBody& body, const TrustedKeys& keys,
                                                 std::error_code& error) {
  if (body.document.size() > kMaxBundleBytes) {
    error = ErrorCode::InvalidRequest;
    return nullptr;
  }
  if (!signaturesVerify(body, keys)) {
    error = ErrorCode::SignatureInvalid;
    return nullptr;
  }
  std::vector<SettingsProblem> problems;
  std::shared_ptr<const Bundle> bundle = parseBundle(body.document, "bundle", problems);
  if (bundle == nullptr || bundle->version != body.version) {
    error = ErrorCode::InvalidRequest;
    return nullptr;
  }
  error.clear();
  return std::make_shared<SignedBundle>(SignedBundle{body, std::move(bundle)});
}

std::error_code BundleHolder::offer(const BundleBody& body) {
  if (body.version <= version()) {
    return ErrorCode::Stale;
  }
  std::error_code error;
  std::shared_ptr<const SignedBundle> accepted = verifyBundle(body, keys_, error);
  if (accepted == nullptr) {
    return error;
  }
  current_ = std::move(accepted);
  return {};
}

}  // namespace crankspur
