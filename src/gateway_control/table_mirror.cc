#include "gateway_control/table_mirror.h"

#include <algorithm>
#include <set>

namespace crankspur::gateway {
namespace {

/// Maximum number of removed rows that are kept, enough for a few minutes of back-end churn. A reader that
/// needs older changes must read the complete table.
constexpr std::size_t kMaxRemovals = 500;

}  // namespace

void TableMirror::onRow(const RelayedRow& row) {
  if (row.gone && row.version == 0) unversioned_removals_.push_back(row.key);
  rows_[row.key] = row;
}

void TableMirror::onFullRead(const std::vector<std::string>& keys) {
  const std::set<std::string> present(keys.begin(), keys.end());
  std::erase_if(rows_, [&present](const auto& entry) { return !present.contains(entry.first); });
  fully_read_ = true;
}

void TableMirror::onContact(std::uint64_t version, TimePoint as_of) {
  for (const std::string& key : unversioned_removals_) {
    const auto row = rows_.find(key);
    if (row != rows_.end() && row->second.gone) row->second.version = version;
  }
  unversioned_removals_.clear();
  version_ = std::max(version_, version);
  if (fully_read_) compacted_version_ = version_;
  fully_read_ = false;
  as_of_ = std::max(as_of_, as_of);
  compactRemovals();
}

void TableMirror::compactRemovals() {
  std::vector<std::pair<std::uint64_t, std::string>> removals;
  for (const auto& [key, row] : rows_) {
    if (row.gone) removals.emplace_back(row.version, key);
  }
  if (removals.size() <= kMaxRemovals) return;
  std::sort(removals.begin(), removals.end());
  // Discards the oldest and keeps half the maximum, so that not every further removal compacts again.
  removals.resize(removals.size() - kMaxRemovals / 2);
  for (const auto& [version, key] : removals) rows_.erase(key);
  compacted_version_ = std::max(compacted_version_, removals.back().first);
}

std::optional<std::vector<RelayedRow>> TableMirror::changesAfter(std::uint64_t version) const {
  if (version < compacted_version_) return std::nullopt;
  std::vector<RelayedRow> changed;
  for (const auto& [key, row] : rows_) {
    if (row.version > version) changed.push_back(row);
  }
  return changed;
}

std::vector<RelayedRow> TableMirror::rows() const {
  std::vector<RelayedRow> present;
  for (const auto& [key, row] : rows_) {
    if (!row.gone) present.push_back(row);
  }
  return present;
}

}  // namespace crankspur::gateway
