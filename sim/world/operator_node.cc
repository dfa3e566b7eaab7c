#include "sim/world/operator_node.h"

#include "base/hash.h"

namespace crankspur::sim {

namespace {
constexpr std::uint32_t kMaxTries = 20;
constexpr Duration kRetryInterval = std::chrono::milliseconds(500);
}  // namespace

void OperatorNode::roll(const std::string& weights) {
  Roll roll;
  roll.weights = weights;
  readThenWrite(std::move(roll));
}

void OperatorNode::readThenWrite(Roll roll) {
  context_.directory.platform().readRow(
      host_, kBundleRowKey, [this, roll](std::optional<TableRow> row) mutable {
        if (!row) return retry(std::move(roll));
        const BundleRow present = decodeBundleRow(*row);
        roll.row_version = row->version;
        roll.body = makeBundle(site_, {present.version + 1, roll.weights, host_.name()});
        roll.row = {roll.body.version, sha256Hex(roll.body.document)};
        putBundleObject(std::move(roll));
      });
}

void OperatorNode::putBundleObject(Roll roll) {
  const std::string key = bundleObjectKey(roll.row);
  const std::string text = encodeBundleBody(roll.body);
  context_.directory.platform().putObject(
      host_, key, text, [this, roll = std::move(roll)](std::optional<standin::ObjectStored> stored) mutable {
        // Repeating the write is idempotent: the object key contains the digest.
        if (!stored) return retry(std::move(roll));
        writeBundleRow(std::move(roll));
      });
}

void OperatorNode::writeBundleRow(Roll roll) {
  const std::string value = encodeBundleRow(roll.row);
  const std::uint64_t row_version = roll.row_version;
  context_.directory.platform().writeRow(
      host_, kBundleRowKey, row_version, value,
      [this, roll = std::move(roll)](std::optional<WriteResponse> response) mutable {
        if (!response) return readBack(std::move(roll));
        if (response->committed) return reportOutcome(roll, "accepted");
        reportOutcome(roll, "beaten by another roll");
      });
}

void OperatorNode::readBack(Roll roll) {
  context_.directory.platform().readRow(host_, kBundleRowKey,
                                        [this, roll = std::move(roll)](std::optional<TableRow> row) mutable {
                                          if (!row) {
                                            if (++roll.tries >= kMaxTries)
                                              return reportOutcome(roll, "unknown");
                                            host_.post(kRetryInterval, [this, roll] { readBack(roll); });
                                            return;
                                          }
                                          const BundleRow present = decodeBundleRow(*row);
                                          if (present.digest == roll.row.digest)
                                            return reportOutcome(roll, "accepted");
                                          // The row is unchanged, but the write may still be in flight:
                                          // repeat it under the same condition.
                                          if (row->version == roll.row_version)
                                            return writeBundleRow(std::move(roll));
                                          reportOutcome(roll, "beaten by another roll");
                                        });
}

void OperatorNode::retry(Roll roll) {
  if (++roll.tries >= kMaxTries) return reportOutcome(roll, "given up");
  host_.post(kRetryInterval, [this, roll = std::move(roll)]() mutable { readThenWrite(std::move(roll)); });
}

void OperatorNode::reportOutcome(const Roll& roll, const char* outcome) {
  context_.trace.note(host_.name(), "roll of bundle {} with {}: {}", roll.row.version, roll.weights, outcome);
}

}  // namespace crankspur::sim
