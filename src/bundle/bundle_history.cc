#include "bundle/bundle_history.h"

#include <algorithm>

#include "bundle/bundle_delta.h"

namespace crankspur {

void BundleHistory::add(const BundleBody& before, const BundleBody& after) {
  if (!steps_.empty() && steps_.back().to_version != before.version) {
    steps_.clear();
    bytes_ = 0;
  }
  std::optional<std::string> delta = makeDocumentDelta(before.document, after.document);
  if (!delta) {
    steps_.clear();
    bytes_ = 0;
    return;
  }
  bytes_ += delta->size();
  steps_.push_back({before.version, after.version, std::move(*delta)});
  while (bytes_ > byte_limit_) {
    bytes_ -= steps_.front().delta.size();
    steps_.pop_front();
  }
}

std::optional<BundleUpdate> BundleHistory::updateFrom(std::uint64_t held_version,
                                                      const BundleBody& current) const {
  const auto starts_at_held = [held_version](const BundleStep& step) {
    return step.from_version == held_version;
  };
  const auto first = std::find_if(steps_.begin(), steps_.end(), starts_at_held);
  if (first == steps_.end() || steps_.back().to_version != current.version) {
    return std::nullopt;
  }
  BundleUpdate update{{first, steps_.end()}, current.author_signature, current.approver_signature};
  std::size_t size = 0;
  for (const BundleStep& step : update.steps) {
    size += step.delta.size();
  }
  if (size >= current.document.size()) {
    return std::nullopt;
  }
  return update;
}

std::optional<BundleBody> applyBundleUpdate(const BundleBody& held, const BundleUpdate& update) {
  BundleBody body{held.version, held.document, update.author_signature, update.approver_signature};
  for (const BundleStep& step : update.steps) {
    if (step.from_version != body.version || step.to_version <= step.from_version) {
      return std::nullopt;
    }
    std::optional<std::string> document = applyDocumentDelta(body.document, step.delta);
    if (!document) {
      return std::nullopt;
    }
    body.document = std::move(*document);
    body.version = step.to_version;
  }
  return body;
}

}  // namespace crankspur
