#include "operator/roll.h"

#include <optional>

#include "base/hash.h"

namespace crankspur {

namespace {

using Kind = RollOutcome::Kind;

/// One roll.
class Roll {
public:
  Roll(PlatformPort& platform, const BundleBody& body, const RollOptions& options)
      : platform_(platform), body_(body), options_(options) {
    wanted_ = {body.version,      sha256Hex(body.document), body.author_signature, body.approver_signature,
               options.rolled_by, options.roll_token};
  }

  RollOutcome run() {
    if (!readRow()) {
      return end(Kind::Unavailable);
    }
    if (const std::optional<Kind> refusal = judgeRow()) {
      return end(*refusal);
    }
    if (!writeDocument()) {
      return end(Kind::Unavailable);
    }
    return acceptRow();
  }

private:
  RollOutcome end(Kind kind) const { return {kind, present_}; }

  /// Reads the row, with repeats.
  bool readRow() {
    for (std::uint32_t attempt = 0; attempt < options_.attempts; ++attempt) {
      const ReadResult result = platform_.readRow(bundleRowKey());
      if (const auto* row = std::get_if<TableRow>(&result)) {
        takeRow(*row);
        return true;
      }
      platform_.pause(options_.pause);
    }
    return false;
  }

  void takeRow(const TableRow& row) {
    row_version_ = row.version;
    const std::optional<BundleRow> parsed = parseBundleRow(row.value);
    row_damaged_ = row.version != 0 && !parsed;
    present_ = parsed.value_or(BundleRow{});
  }

  /// @return why the row forbids the roll, or empty.
  std::optional<Kind> judgeRow() const {
    if (row_damaged_) {
      return Kind::RowDamaged;
    }
    if (row_version_ == 0 || body_.version == present_.version + 1) {
      return std::nullopt;
    }
    const bool same =
        present_.version == wanted_.version && present_.document_sha256 == wanted_.document_sha256;
    return same ? Kind::AlreadyAccepted : Kind::WrongVersion;
  }

  bool writeDocument() {
    const std::string key = bundleObjectKey(wanted_.version, wanted_.document_sha256);
    for (std::uint32_t attempt = 0; attempt < options_.attempts; ++attempt) {
      const PutObjectResult result = platform_.putObject(key, body_.document);
      if (std::holds_alternative<ObjectWritten>(result)) {
        return true;
      }
      platform_.pause(options_.pause);
    }
    return false;
  }

  /// Tries the same compare-and-set until its fate is known. Trying again is safe: the condition lets at most
  /// one of the tries take effect, and the roll token tells whose it was.
  RollOutcome acceptRow() {
    const std::uint64_t base_version = row_version_;
    const std::string value = encodeBundleRow(wanted_);
    bool effect_unknown = false;
    for (std::uint32_t attempt = 0; attempt < options_.attempts; ++attempt) {
      const TransactionResult result = platform_.compareAndSet(bundleRowKey(), base_version, value);
      if (std::holds_alternative<TransactionCommitted>(result)) {
        present_ = wanted_;
        return end(Kind::Accepted);
      }
      if (const auto* conflict = std::get_if<TransactionConflict>(&result)) {
        return judgeConflict(*conflict, effect_unknown);
      }
      const auto* unavailable = std::get_if<ServiceUnavailable>(&result);
      effect_unknown = effect_unknown || (unavailable != nullptr && unavailable->effect_unknown);
      platform_.pause(options_.pause);
    }
    return end(effect_unknown ? Kind::Unknown : Kind::Unavailable);
  }

  /// @param effect_unknown whether an earlier try may have taken effect.
  RollOutcome judgeConflict(const TransactionConflict& conflict, bool effect_unknown) {
    if (!conflict.rows.empty()) {
      takeRow(conflict.rows.front());
    }
    if (present_.roll_token == wanted_.roll_token) {
      return end(Kind::Accepted);
    }
    if (present_.version == wanted_.version && present_.document_sha256 == wanted_.document_sha256) {
      return end(Kind::AlreadyAccepted);
    }
    // A later version may stand on ours: an earlier try of ours could have been accepted before it.
    const bool may_be_ours = effect_unknown && present_.version > wanted_.version;
    return end(may_be_ours ? Kind::Unknown : Kind::LostRace);
  }

  PlatformPort& platform_;
  const BundleBody& body_;
  const RollOptions& options_;
  BundleRow wanted_;
  BundleRow present_;
  std::uint64_t row_version_ = 0;
  bool row_damaged_ = false;
};

}  // namespace

RollOutcome rollBundle(PlatformPort& platform, const BundleBody& body, const RollOptions& options) {
  return Roll(platform, body, options).run();
}

}  // namespace crankspur
