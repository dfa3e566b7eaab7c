#include "operator/roll.h"

#include <optional>

#include "base/hash.h"

namespace crankspur {

namespace {

using Kind = RollOutcome::Kind;

/// State of one roll.
class Roll {
public:
  Roll(PlatformPort& platform, const BundleBody& body, const RollOptions& options)
      : platform_(platform), body_(body), options_(options) {
    new_row_ = {body.version,      sha256Hex(body.document), body.author_signature, body.approver_signature,
                options.rolled_by, options.roll_token};
  }

  RollOutcome run() {
    if (!readRow()) {
      return outcome(Kind::Unavailable);
    }
    if (const std::optional<Kind> refusal = checkRow()) {
      return outcome(*refusal);
    }
    if (!writeDocument()) {
      return outcome(Kind::Unavailable);
    }
    return acceptRow();
  }

private:
  RollOutcome outcome(Kind kind) const { return {kind, current_}; }

  /// Reads the row, with retries.
  bool readRow() {
    for (std::uint32_t attempt = 0; attempt < options_.attempts; ++attempt) {
      const ReadResult result = platform_.readRow(bundleRowKey());
      if (const auto* row = std::get_if<TableRow>(&result)) {
        recordRow(*row);
        return true;
      }
      platform_.sleepFor(options_.retry_interval);
    }
    return false;
  }

  void recordRow(const TableRow& row) {
    row_version_ = row.version;
    const std::optional<BundleRow> parsed = parseBundleRow(row.value);
    row_invalid_ = row.version != 0 && !parsed;
    current_ = parsed.value_or(BundleRow{});
  }

  /// @return the reason why the row does not permit the roll, or nullopt.
  std::optional<Kind> checkRow() const {
    if (row_invalid_) {
      return Kind::RowInvalid;
    }
    if (row_version_ == 0 || body_.version == current_.version + 1) {
      return std::nullopt;
    }
    const bool same =
        current_.version == new_row_.version && current_.document_sha256 == new_row_.document_sha256;
    return same ? Kind::AlreadyAccepted : Kind::WrongVersion;
  }

  bool writeDocument() {
    const std::string key = bundleObjectKey(new_row_.version, new_row_.document_sha256);
    for (std::uint32_t attempt = 0; attempt < options_.attempts; ++attempt) {
      const PutObjectResult result = platform_.putObject(key, body_.document);
      if (std::holds_alternative<ObjectWritten>(result)) {
        return true;
      }
      platform_.sleepFor(options_.retry_interval);
    }
    return false;
  }

  /// Repeats the same compare-and-set until its outcome is known. This is safe: the version condition lets at
  /// most one attempt take effect, and the roll token identifies the roll that wrote the row.
  RollOutcome acceptRow() {
    const std::uint64_t base_version = row_version_;
    const std::string value = encodeBundleRow(new_row_);
    bool effect_unknown = false;
    for (std::uint32_t attempt = 0; attempt < options_.attempts; ++attempt) {
      const TransactionResult result = platform_.compareAndSet(bundleRowKey(), base_version, value);
      if (std::holds_alternative<TransactionCommitted>(result)) {
        current_ = new_row_;
        return outcome(Kind::Accepted);
      }
      if (const auto* conflict = std::get_if<TransactionConflict>(&result)) {
        return resolveConflict(*conflict, effect_unknown);
      }
      const auto* unavailable = std::get_if<ServiceUnavailable>(&result);
      effect_unknown = effect_unknown || (unavailable != nullptr && unavailable->effect_unknown);
      platform_.sleepFor(options_.retry_interval);
    }
    return outcome(effect_unknown ? Kind::Unknown : Kind::Unavailable);
  }

  /// @param effect_unknown whether an earlier attempt may have taken effect.
  RollOutcome resolveConflict(const TransactionConflict& conflict, bool effect_unknown) {
    if (!conflict.rows.empty()) {
      recordRow(conflict.rows.front());
    }
    if (current_.roll_token == new_row_.roll_token) {
      return outcome(Kind::Accepted);
    }
    if (current_.version == new_row_.version && current_.document_sha256 == new_row_.document_sha256) {
      return outcome(Kind::AlreadyAccepted);
    }
    // A later version may be based on this roll: an earlier attempt could have been accepted before it.
    const bool may_be_accepted = effect_unknown && current_.version > new_row_.version;
    return outcome(may_be_accepted ? Kind::Unknown : Kind::LostRace);
  }

  PlatformPort& platform_;
  const BundleBody& body_;
  const RollOptions& options_;
  BundleRow new_row_;
  BundleRow current_;
  std::uint64_t row_version_ = 0;
  bool row_invalid_ = false;
};

}  // namespace

RollOutcome rollBundle(PlatformPort& platform, const BundleBody& body, const RollOptions& options) {
  return Roll(platform, body, options).run();
}

}  // namespace crankspur
