#include "sim/world/operator_node.h"

#include "base/hash.h"

namespace crankspur::sim {

namespace {
constexpr std::uint32_t kMaximumTries = 20;
constexpr Duration kRetryWait = std::chrono::milliseconds(500);
}  // namespace

void OperatorNode::roll(const std::string& weights) {
  Roll roll;
  roll.weights = weights;
  readThenWrite(std::move(roll));
}

void OperatorNode::readThenWrite(Roll roll) {
  context_.directory.platform().readRow(
      host_, kBundleRowKey, [this, roll](std::optional<TableRow> row) mutable {
        if (!row) return tryAgain(std::move(roll));
        const BundleRow present = decodeBundleRow(*row);
        roll.row_version = row->version;
        roll.body = makeBundle(site_, {present.version + 1, roll.weights, host_.name()});
        roll.row = {roll.body.version, sha256Hex(roll.body.document)};
        store(std::move(roll));
      });
}

void OperatorNode::store(Roll roll) {
  const std::string key = bundleObjectKey(roll.row);
  const std::string text = encodeBundleBody(roll.body);
  context_.directory.platform().putObject(
      host_, key, text, [this, roll = std::move(roll)](std::optional<standin::ObjectStored> stored) mutable {
        // Writing an object twice does no harm: its key holds the digest.
        if (!stored) return tryAgain(std::move(roll));
        accept(std::move(roll));
      });
}

void OperatorNode::accept(Roll roll) {
  const std::string value = encodeBundleRow(roll.row);
  const std::uint64_t row_version = roll.row_version;
  context_.directory.platform().writeRow(
      host_, kBundleRowKey, row_version, value,
      [this, roll = std::move(roll)](std::optional<WriteAnswer> answer) mutable {
        if (!answer) return readBack(std::move(roll));
        if (answer->committed) return told(roll, "accepted");
        told(roll, "beaten by another roll");
      });
}

void OperatorNode::readBack(Roll roll) {
  context_.directory.platform().readRow(host_, kBundleRowKey,
                                        [this, roll = std::move(roll)](std::optional<TableRow> row) mutable {
                                          if (!row) {
                                            if (++roll.tries >= kMaximumTries) return told(roll, "unknown");
                                            host_.post(kRetryWait, [this, roll] { readBack(roll); });
                                            return;
                                          }
                                          const BundleRow present = decodeBundleRow(*row);
                                          if (present.digest == roll.row.digest)
                                            return told(roll, "accepted");
                                          // The write may still be on its way while the row is unchanged:
                                          // write again on the same condition.
                                          if (row->version == roll.row_version)
                                            return accept(std::move(roll));
                                          told(roll, "beaten by another roll");
                                        });
}

void OperatorNode::tryAgain(Roll roll) {
  if (++roll.tries >= kMaximumTries) return told(roll, "given up");
  host_.post(kRetryWait, [this, roll = std::move(roll)]() mutable { readThenWrite(std::move(roll)); });
}

void OperatorNode::told(const Roll& roll, const char* outcome) {
  context_.trace.note(host_.name(), "roll of bundle {} with {}: {}", roll.row.version, roll.weights, outcome);
}

}  // namespace crankspur::sim
