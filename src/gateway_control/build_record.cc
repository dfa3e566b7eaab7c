#include "gateway_control/build_record.h"

#include <algorithm>
#include <boost/json.hpp>

#include "base/hash.h"
#include "gateway/stream_origins.h"
#include "json/json_fields.h"

namespace crankspur::gateway {
namespace {

namespace json = boost::json;

/// A new build is recorded within this time and kUpdateDelayPerPeer for each other gateway, at a random
/// moment: the first one to write spares the others the write.
constexpr Duration kUpdateDelay = std::chrono::milliseconds(100);
constexpr Duration kUpdateDelayPerPeer = std::chrono::milliseconds(10);
/// A build that has left is removed later by this factor, since a record that names it too long does little
/// harm.
constexpr int kRemovalDelayFactor = 50;
/// A build that this process has never listed is removed once it has been on record for this long. It may be
/// one that has just come.
constexpr Duration kForeignBuildTime = 2 * kStreamResumeTime;
/// What was listed and removed between two lists of the platform that are further apart may not have been
/// seen, and an older list does not show which builds have left.
constexpr Duration kMaxListAge = std::chrono::seconds(4);

std::string encode(const std::set<std::pair<std::uint64_t, std::uint64_t>>& builds) {
  json::array entries;
  for (const auto& [pool, build] : builds) entries.push_back(json::object{{"pool", pool}, {"build", build}});
  return json::serialize(json::object{{"builds", entries}});
}

/// @return empty if the text is not in this program's format.
std::set<std::pair<std::uint64_t, std::uint64_t>> decode(const std::string& text) {
  std::set<std::pair<std::uint64_t, std::uint64_t>> builds;
  const std::optional<json::object> object = parseJsonObject(text);
  const json::value* entries = object ? object->if_contains("builds") : nullptr;
  if (entries == nullptr || !entries->is_array()) return builds;
  for (const json::value& entry : entries->get_array()) {
    if (!entry.is_object()) continue;
    const auto pool = unsignedField(entry.get_object(), "pool");
    const auto build = unsignedField(entry.get_object(), "build");
    if (pool && build) builds.emplace(*pool, *build);
  }
  return builds;
}

}  // namespace

BuildRecord::BuildRecord(std::uint64_t random_seed, TimePoint now)
    : random_(random_seed), ready_at_(now + kMaxRecordLoadTime) {}

void BuildRecord::onListContact(TimePoint as_of) {
  if (as_of - list_as_of_ > kMaxListAge) observed_since_ = as_of;
  list_as_of_ = std::max(list_as_of_, as_of);
  if (list_as_of_ >= row_read_at_) awaits_list_ = false;
}

void BuildRecord::onListed(const std::vector<Backend>& backends, std::size_t peers, TimePoint now) {
  for (const Backend& backend : backends) {
    if (!backend.is_kv_store) listed_[{hashBytes(backend.view.pool), buildId(backend.build)}] = now;
  }
  const std::set<PoolAndBuild> wanted = content(now);
  if (!known_ || wanted == recorded_) return;
  const bool adds = !std::includes(recorded_.begin(), recorded_.end(), wanted.begin(), wanted.end());
  const Duration spread = kUpdateDelay + kUpdateDelayPerPeer * static_cast<Duration::rep>(peers);
  if (adds) awaits_list_ = false;
  const double share = random_.unit() * (adds ? 1 : kRemovalDelayFactor);
  const auto delay = Duration(static_cast<Duration::rep>(share * static_cast<double>(spread.count())));
  if (adds || update_at_ == TimePoint::max()) update_at_ = std::min(update_at_, now + delay);
}

void BuildRecord::onBackend(const std::string& pool, const std::string& build, TimePoint now) {
  listed_[{hashBytes(pool), buildId(build)}] = now;
}

std::vector<ServedBuild> BuildRecord::served(const StoredRecord& record, TimePoint now) const {
  std::vector<ServedBuild> builds;
  for (const auto& [pool, build] : decode(record.text)) builds.push_back({pool, build, now});
  for (const auto& [entry, listed_at] : listed_) {
    if (now - listed_at <= kStreamResumeTime) builds.push_back({entry.first, entry.second, listed_at});
  }
  return builds;
}

/// @return whether the build has left for so long that no client resumes its streams. It may have served
/// while this process read no list, for example because it was suspended.
bool BuildRecord::isStale(const PoolAndBuild& entry, TimePoint now) const {
  if (now - list_as_of_ > kMaxListAge) return false;
  const auto listed = listed_.find(entry);
  if (listed != listed_.end())
    return list_as_of_ - std::max(listed->second, observed_since_) > kStreamResumeTime;
  const auto since = recorded_since_.find(entry);
  if (since == recorded_since_.end()) return false;
  return list_as_of_ - std::max(since->second, observed_since_) > kForeignBuildTime;
}

/// @return what the row should hold.
std::set<BuildRecord::PoolAndBuild> BuildRecord::content(TimePoint now) const {
  std::set<PoolAndBuild> builds = recorded_;
  for (const auto& [entry, listed_at] : listed_) {
    if (now - listed_at <= kStreamResumeTime) builds.insert(entry);
  }
  std::erase_if(builds, [&](const PoolAndBuild& entry) { return isStale(entry, now); });
  return builds;
}

void BuildRecord::onRead(const std::optional<StoredRecord>& record, TimePoint now) {
  calling_ = false;
  if (!record) {
    not_before_ = now + kRecordRetryDelay;
    return;
  }
  row_read_at_ = now;
  recorded_ = decode(record->text);
  for (const PoolAndBuild& entry : recorded_) recorded_since_.try_emplace(entry, now);
  std::erase_if(recorded_since_, [this](const auto& item) { return !recorded_.contains(item.first); });
  if (!known_) {
    for (const auto& [pool, build] : recorded_) before_.push_back({pool, build, now});
  }
  known_ = true;
  if (now >= update_at_) version_to_replace_ = record->row_version;
}

RecordCall BuildRecord::nextCall(TimePoint now) {
  RecordCall call;
  if (now < nextTimer()) return call;
  std::set<PoolAndBuild> wanted = content(now);
  const bool removes = !std::includes(wanted.begin(), wanted.end(), recorded_.begin(), recorded_.end());
  if (version_to_replace_ && removes && list_as_of_ < row_read_at_) {
    // A build may have returned since the list was read. Builds that have come do not wait for the next list.
    wanted.insert(recorded_.begin(), recorded_.end());
    awaits_list_ = wanted == recorded_;
    if (awaits_list_) return call;
  }
  if (version_to_replace_ && wanted == recorded_) {
    version_to_replace_.reset();
    update_at_ = TimePoint::max();
    return call;
  }
  calling_ = true;
  if (!version_to_replace_) {
    call.kind = RecordCall::Kind::read;
    return call;
  }
  call.kind = RecordCall::Kind::write;
  call.text = encode(wanted);
  call.expected_version = *std::exchange(version_to_replace_, std::nullopt);
  recorded_ = wanted;
  update_at_ = TimePoint::max();
  return call;
}

void BuildRecord::onWritten(bool written, TimePoint now) {
  calling_ = false;
  if (written) return;
  update_at_ = now;
  not_before_ = now + kRecordRetryDelay;
}

TimePoint BuildRecord::nextTimer() const {
  if (calling_ || awaits_list_) return TimePoint::max();
  return known_ ? std::max(not_before_, update_at_) : not_before_;
}

}  // namespace crankspur::gateway
