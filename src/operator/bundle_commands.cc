#include "operator/bundle_commands.h"

#include <openssl/rand.h>

#include <array>
#include <cstdlib>
#include <cstring>

#include "base/hash.h"
#include "operator/bundle_diff.h"
#include "operator/key_files.h"
#include "operator/roll.h"

namespace crankspur {

namespace {

/// A validated bundle document.
struct CheckedDocument {
  std::string text;
  std::shared_ptr<const Bundle> bundle;
};

/// Reads and validates a document.
/// @param code set on failure, after the reason was reported.
std::optional<CheckedDocument> loadDocument(const std::string& path, Report& report, ExitCode& code) {
  std::optional<std::string> text = readFile(path);
  if (!text) {
    code = report.fail(ExitCode::Usage, "{}: cannot be read", path);
    return std::nullopt;
  }
  std::vector<SettingsProblem> problems;
  std::shared_ptr<const Bundle> bundle = parseBundle(*text, path, problems);
  for (const SettingsProblem& problem : problems) {
    code = report.fail(ExitCode::Refused, "{}", problem.toString());
  }
  if (bundle == nullptr) {
    return std::nullopt;
  }
  return CheckedDocument{std::move(*text), std::move(bundle)};
}

/// Signs a validated document and writes the signature to a file next to it.
ExitCode writeSignature(const std::string& path, const CheckedDocument& document, const std::string& key_path,
                        SignatureRole role, Report& report) {
  const std::optional<std::string> key = readLine(key_path);
  if (!key) {
    return report.fail(ExitCode::Usage, "{}: cannot be read", key_path);
  }
  const std::optional<std::string> signature =
      signBundle(*key, role, document.bundle->version, document.text);
  if (!signature) {
    return report.fail(ExitCode::Usage, "{}: is no private key", key_path);
  }
  const std::string signature_path = signaturePath(path, role);
  const std::string problem = writeFile(signature_path, *signature + "\n");
  if (!problem.empty()) {
    return report.fail(ExitCode::Usage, "{}: {}", signature_path, problem);
  }
  report.print("{}: version {} signed", signature_path, document.bundle->version);
  return ExitCode::Ok;
}

/// @return the reason why the author's signature is refused, or an empty string.
std::string checkAuthorSignature(const CheckedDocument& document, const std::string& signature,
                                 const std::string& approver_public_key, const TrustedKeys& keys) {
  const std::string statement =
      signedStatement(SignatureRole::Author, document.bundle->version, document.text);
  if (verifySignature(approver_public_key, statement, signature)) {
    return "author and approver must be different keys";
  }
  if (keys.authors.empty()) {
    return "";
  }
  for (const std::string& author : keys.authors) {
    if (verifySignature(author, statement, signature)) {
      return "";
    }
  }
  return "the author's signature is by none of --author_keys";
}

std::string randomToken() {
  std::array<unsigned char, 8> bytes{};
  if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1) {
    std::abort();
  }
  std::uint64_t value = 0;
  std::memcpy(&value, bytes.data(), bytes.size());
  return toHex(value);
}

ExitCode reportOutcome(const RollOutcome& outcome, const BundleBody& body, Report& report) {
  const BundleRow& current = outcome.current;
  switch (outcome.kind) {
    case RollOutcome::Kind::Accepted:
      report.print("version {} accepted", body.version);
      return ExitCode::Ok;
    case RollOutcome::Kind::AlreadyAccepted:
      report.print("version {} was accepted earlier, rolled by {}", body.version, current.rolled_by);
      return ExitCode::Ok;
    case RollOutcome::Kind::WrongVersion:
      return report.fail(ExitCode::Refused,
                         "version {} is accepted (rolled by {}); the next must be {}, not {}",
                         current.version, current.rolled_by, current.version + 1, body.version);
    case RollOutcome::Kind::LostRace:
      return report.fail(ExitCode::Refused,
                         "lost the race: version {} was rolled first by {}; nothing changed", current.version,
                         current.rolled_by);
    case RollOutcome::Kind::RowInvalid:
      return report.fail(ExitCode::Refused, "the table's row {} is no bundle row; nothing changed",
                         bundleRowKey());
    case RollOutcome::Kind::Unavailable:
      return report.fail(ExitCode::Unavailable, "the platform did not answer; nothing changed");
    case RollOutcome::Kind::Unknown:
      return report.fail(ExitCode::Unknown,
                         "the platform did not answer; version {} may have been accepted: see bundle status",
                         body.version);
  }
  return ExitCode::Unknown;
}

}  // namespace

ExitCode generateKeys(const std::string& prefix, Report& report) {
  const SigningKeyPair pair = generateSigningKeyPair();
  const std::string key_path = prefix + ".key";
  const std::string public_path = prefix + ".pub";
  std::string problem = writeNewFile(key_path, pair.private_key + "\n", true);
  if (!problem.empty()) {
    return report.fail(ExitCode::Usage, "{}: {}", key_path, problem);
  }
  problem = writeFile(public_path, pair.public_key + "\n");
  if (!problem.empty()) {
    return report.fail(ExitCode::Usage, "{}: {}", public_path, problem);
  }
  report.print("{}", pair.public_key);
  return ExitCode::Ok;
}

ExitCode checkBundle(const std::string& path, Report& report) {
  ExitCode code = ExitCode::Ok;
  const auto document = loadDocument(path, report, code);
  if (!document) {
    return code;
  }
  const Bundle& bundle = *document->bundle;
  report.print("{}: version {} for {} is right: {} tenants, {} models, {} operations", path, bundle.version,
               bundle.site, bundle.tenants.size(), bundle.models.size(), bundle.operations.size());
  return ExitCode::Ok;
}

ExitCode signBundleFile(const std::string& path, const std::string& key_path, Report& report) {
  ExitCode code = ExitCode::Ok;
  const auto document = loadDocument(path, report, code);
  if (!document) {
    return code;
  }
  return writeSignature(path, *document, key_path, SignatureRole::Author, report);
}

ExitCode approveBundleFile(const std::string& path, const std::string& key_path, const TrustedKeys& keys,
                           Report& report) {
  ExitCode code = ExitCode::Ok;
  const auto document = loadDocument(path, report, code);
  if (!document) {
    return code;
  }
  const std::string author_path = signaturePath(path, SignatureRole::Author);
  const std::optional<std::string> author_signature = readLine(author_path);
  if (!author_signature) {
    return report.fail(ExitCode::Refused, "{}: cannot be read; the author signs first", author_path);
  }
  const std::optional<std::string> public_key = derivePublicKey(readLine(key_path).value_or(""));
  if (!public_key) {
    return report.fail(ExitCode::Usage, "{}: is no private key", key_path);
  }
  const std::string reason = checkAuthorSignature(*document, *author_signature, *public_key, keys);
  if (!reason.empty()) {
    return report.fail(ExitCode::Refused, "{}: {}", author_path, reason);
  }
  return writeSignature(path, *document, key_path, SignatureRole::Approver, report);
}

ExitCode diffBundleFiles(const std::string& before, const std::string& after, Report& report) {
  ExitCode code = ExitCode::Ok;
  const auto old_document = loadDocument(before, report, code);
  const auto new_document = loadDocument(after, report, code);
  if (!old_document || !new_document) {
    return code;
  }
  report.print("version {} -> {}", old_document->bundle->version, new_document->bundle->version);
  for (const std::string& line : diffBundles(*old_document->bundle, *new_document->bundle)) {
    report.print("{}", line);
  }
  return ExitCode::Ok;
}

ExitCode rollBundleFile(const std::string& path, const TrustedKeys& keys, const std::string& rolled_by,
                        PlatformPort& platform, Report& report) {
  ExitCode code = ExitCode::Ok;
  const auto document = loadDocument(path, report, code);
  if (!document) {
    return code;
  }
  const auto author = readLine(signaturePath(path, SignatureRole::Author));
  const auto approver = readLine(signaturePath(path, SignatureRole::Approver));
  if (!author || !approver) {
    return report.fail(ExitCode::Refused, "{}: needs both signatures: bundle sign, then bundle approve",
                       path);
  }
  const BundleBody body{document->bundle->version, document->text, *author, *approver};
  std::error_code error;
  if (verifyBundle(body, keys, error) == nullptr) {
    return report.fail(ExitCode::Refused, "{}: no node would take it: {}", path, error.message());
  }
  const RollOptions options{rolled_by, randomToken()};
  return reportOutcome(rollBundle(platform, body, options), body, report);
}

}  // namespace crankspur
