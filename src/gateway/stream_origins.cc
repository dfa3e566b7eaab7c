#include "gateway/stream_origins.h"

#include <algorithm>

#include "base/hash.h"

namespace crankspur::gateway {
namespace {

/// Origins are kept for this long, about 60 bytes each.
constexpr Duration kKeepTime = kStreamResumeTime;
constexpr std::size_t kMaxKept = 32'768;
/// A list of back ends that was not confirmed for longer may lack a build that serves.
constexpr Duration kMaxListAge = std::chrono::seconds(4);
/// Gateways that keep the origin of a stream, so that it outlives the gateway that began it and one or two of
/// them.
constexpr std::size_t kKeepers = 3;
/// Records in one message, about 30 bytes each, so that it fits into a datagram.
constexpr std::size_t kMaxRecordsOfMessage = 1'000;

/// @return the only one of the builds; 0: there is none, or several.
std::uint64_t soleOf(const std::vector<std::uint64_t>& builds) {
  return builds.size() == 1 ? builds.front() : 0;
}

/// Moves up to kMaxRecordsOfMessage records.
template <typename Record>
std::vector<Record> takeSome(std::vector<Record>& records) {
  const std::size_t count = std::min(records.size(), kMaxRecordsOfMessage);
  std::vector<Record> taken(records.end() - static_cast<std::ptrdiff_t>(count), records.end());
  records.resize(records.size() - count);
  return taken;
}

}  // namespace

std::uint64_t buildId(const std::string& build) {
  return std::max<std::uint64_t>(1, hashBytes(build));
}

std::string_view nameOf(StreamOrigin::State state) {
  switch (state) {
    case StreamOrigin::State::known:
      return "known";
    case StreamOrigin::State::any_build:
      return "any_build";
    case StreamOrigin::State::asked:
      return "asked";
    case StreamOrigin::State::unknown:
      return "unknown";
  }
  return "unknown";
}

std::string_view nameOf(StreamOrigin::Source source) {
  switch (source) {
    case StreamOrigin::Source::kept:
      return "kept";
    case StreamOrigin::Source::confirmed:
      return "confirmed";
    case StreamOrigin::Source::none:
      return "none";
  }
  return "none";
}

PoolIds poolIdsOf(const Route& route) {
  PoolIds pools;
  for (const PoolShare& share : route.pools) pools.push_back(hashBytes(share.pool));
  return pools;
}

void StreamOriginTable::onSnapshot(const GatewaySnapshot& snapshot, TimePoint now) {
  if (!started_at_) started_at_ = now;
  own_name_ = snapshot.own_name;
  list_contact_ = snapshot.list_contact;
  const bool was_alone = peers_.empty();
  peers_.clear();
  for (const PeerGateway& peer : snapshot.peers) peers_.push_back(peer.name);
  builds_before_known_ = snapshot.builds_before_known;
  removeExpired(now);
  bool is_new_build = false;
  for (const ServedBuild& served : snapshot.builds_before) is_new_build |= recordBuild(served);
  const Backend* previous = nullptr;
  for (const Backend& backend : snapshot.backends) {
    if (backend.is_kv_store) continue;
    // Most back ends are of the pool and build of the one before: thousands need not be hashed each time.
    const Backend* const before = std::exchange(previous, &backend);
    if (before != nullptr && before->view.pool == backend.view.pool && before->build == backend.build)
      continue;
    is_new_build |= recordBuild({hashBytes(backend.view.pool), buildId(backend.build), now});
  }
  const bool has_first_peer = was_alone && !peers_.empty();
  const bool became_outdated = std::exchange(list_was_fresh_, isListFresh(now)) && !list_was_fresh_;
  if (is_new_build || has_first_peer || became_outdated) tellUntold(now);
}

void StreamOriginTable::onConfirmed(const std::vector<ServedBuild>& builds, TimePoint now) {
  bool is_new_build = false;
  for (const ServedBuild& served : builds) is_new_build |= recordBuild(served);
  if (is_new_build) tellUntold(now);
}

/// @return whether the build was not known.
bool StreamOriginTable::recordBuild(const ServedBuild& served) {
  const auto [entry, is_new] = builds_[served.pool].try_emplace(served.build, served.last_listed);
  entry->second = std::max(entry->second, served.last_listed);
  return is_new;
}

void StreamOriginTable::removeExpired(TimePoint now) {
  while (!expiry_.empty() && (now - expiry_.front().first > kKeepTime || kept_.size() > kMaxKept)) {
    const auto [kept_at, attempt] = expiry_.front();
    expiry_.pop_front();
    const auto kept = kept_.find(attempt);
    if (kept != kept_.end() && kept->second.kept_at == kept_at) kept_.erase(kept);
  }
  absl::erase_if(questions_,
                 [now](const auto& item) { return now - item.second.asked_at > kStreamResumeTime; });
  for (auto& [pool, builds] : builds_) {
    absl::erase_if(builds, [now](const auto& item) { return now - item.second > kStreamResumeTime; });
  }
}

/// @return the builds that clients may resume streams of, as far as this gateway has seen them.
std::vector<std::uint64_t> StreamOriginTable::recentBuilds(const PoolIds& pools, TimePoint now) const {
  std::vector<std::uint64_t> recent;
  for (const std::uint64_t pool : pools) {
    const auto builds = builds_.find(pool);
    if (builds == builds_.end()) continue;
    for (const auto& [build, last_listed] : builds->second) {
      const bool is_listed = std::find(recent.begin(), recent.end(), build) != recent.end();
      if (!is_listed && now - last_listed <= kStreamResumeTime) recent.push_back(build);
    }
  }
  return recent;
}

bool StreamOriginTable::hasSeveralBuilds(const PoolIds& pools, TimePoint now) const {
  return recentBuilds(pools, now).size() > 1;
}

/// A gateway that resumes the stream can learn from the platform that one build serves, unless the platform
/// does not respond.
bool StreamOriginTable::isWorthTelling(const PoolIds& pools, TimePoint now) const {
  return hasSeveralBuilds(pools, now) || !isListFresh(now);
}

bool StreamOriginTable::isListFresh(TimePoint now) const {
  return list_contact_ == nullptr || now - list_contact_->confirmedAt() <= kMaxListAge;
}

/// A process that has just started knows the builds that served before only from their record, and nothing
/// before its first snapshot.
bool StreamOriginTable::knowsPastBuilds(TimePoint now) const {
  return started_at_ && (builds_before_known_ || now - *started_at_ >= kStreamResumeTime);
}

/// Streams that began while one build served, or while no other gateway was known, are told later.
void StreamOriginTable::tellUntold(TimePoint now) {
  for (auto& [attempt, kept] : kept_) {
    if (kept.own && !kept.told && isWorthTelling(kept.pools, now)) tell(attempt, kept);
  }
}

void StreamOriginTable::tell(std::uint64_t attempt, Kept& kept) {
  std::vector<std::string> keepers = keepersOf(attempt);
  kept.told = !keepers.empty();
  // A gateway that knows no other one has its own record alone.
  if (keepers.empty()) keepers.push_back(own_name_);
  for (const std::string& keeper : keepers) outgoing_[keeper].begun.push_back({attempt, kept.build, false});
}

/// @return the keepers of the attempt beside this gateway. All gateways that know the same ones select alike.
std::vector<std::string> StreamOriginTable::keepersOf(std::uint64_t attempt) const {
  std::vector<std::pair<std::uint64_t, const std::string*>> ranked;
  ranked.emplace_back(combineHashes(attempt, hashBytes(own_name_)), &own_name_);
  for (const std::string& peer : peers_) ranked.emplace_back(combineHashes(attempt, hashBytes(peer)), &peer);
  const std::size_t count = std::min(kKeepers, ranked.size());
  std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count), ranked.end(),
                    std::greater<>());
  std::vector<std::string> keepers;
  for (std::size_t index = 0; index < count; ++index) {
    if (ranked[index].second != &own_name_) keepers.push_back(*ranked[index].second);
  }
  return keepers;
}

void StreamOriginTable::keep(std::uint64_t attempt, const Kept& kept) {
  kept_[attempt] = kept;
  expiry_.emplace_back(kept.kept_at, attempt);
}

void StreamOriginTable::onBegun(const std::string& attempt, const PoolIds& pools, std::uint64_t build,
                                TimePoint now) {
  const std::uint64_t id = hashBytes(attempt);
  keep(id, {build, pools, now, true, false});
  if (isWorthTelling(pools, now)) tell(id, kept_[id]);
}

void StreamOriginTable::onCompleted(const std::string& attempt) {
  const auto kept = kept_.find(hashBytes(attempt));
  if (kept != kept_.end() && kept->second.own) kept_.erase(kept);
}

StreamOrigin StreamOriginTable::lookUp(const std::string& attempt, const PoolIds& pools, TimePoint now) {
  const std::optional<std::uint64_t> known = knownBuild(attempt);
  if (known) return originOf(StreamOrigin::State::known, *known, pools, now);
  const std::uint64_t id = hashBytes(attempt);
  const std::vector<std::string> keepers = attempt.empty() ? std::vector<std::string>{} : keepersOf(id);
  for (const std::string& keeper : keepers) {
    for (const std::uint64_t pool : pools) outgoing_[keeper].queries.push_back({id, pool});
  }
  Question& question = questions_[id];
  question = {};
  question.unanswered = keepers.size() * pools.size();
  question.asked_at = now;
  return originOf(StreamOrigin::State::asked, 0, pools, now);
}

StreamOrigin StreamOriginTable::originOf(StreamOrigin::State state, std::uint64_t build, const PoolIds& pools,
                                         TimePoint now) const {
  StreamOrigin origin;
  origin.state = state;
  origin.build = build;
  if (state == StreamOrigin::State::known) origin.source = StreamOrigin::Source::kept;
  origin.builds_seen = recentBuilds(pools, now).size();
  return origin;
}

std::optional<std::uint64_t> StreamOriginTable::knownBuild(const std::string& attempt) const {
  const auto kept = kept_.find(hashBytes(attempt));
  if (attempt.empty() || kept == kept_.end()) return std::nullopt;
  return kept->second.build;
}

bool StreamOriginTable::isAnswered(const std::string& attempt) const {
  const auto question = questions_.find(hashBytes(attempt));
  return knownBuild(attempt) || question == questions_.end() || question->second.unanswered == 0;
}

StreamOrigin StreamOriginTable::decide(const std::string& attempt, const PoolIds& pools, bool confirmed,
                                       TimePoint now) {
  const std::optional<std::uint64_t> known = knownBuild(attempt);
  if (known) return originOf(StreamOrigin::State::known, *known, pools, now);
  const auto question = questions_.find(hashBytes(attempt));
  const Question answers = question == questions_.end() ? Question{} : question->second;
  // The only build that a keeper has seen may be another one than those which are seen here.
  std::vector<std::uint64_t> builds = recentBuilds(pools, now);
  const bool is_seen = std::find(builds.begin(), builds.end(), answers.sole_build) != builds.end();
  if (answers.sole_build != 0 && !is_seen) builds.push_back(answers.sole_build);
  const bool several = answers.several_builds || builds.size() > 1;
  const bool is_unknown = several || !confirmed;
  StreamOrigin origin = is_unknown ? originOf(StreamOrigin::State::unknown, 0, pools, now)
                                   : originOf(StreamOrigin::State::any_build, soleOf(builds), pools, now);
  if (confirmed) origin.source = StreamOrigin::Source::confirmed;
  origin.builds_seen = builds.size();
  origin.unanswered = answers.unanswered;
  return origin;
}

bool StreamOriginTable::onMessage(const std::string& sender, const StreamOrigins& message, TimePoint now) {
  for (const StreamOriginRecord& record : message.begun) {
    if (record.build != 0) keep(record.attempt, {record.build, {}, now, false, true});
  }
  for (const StreamOriginQuery& query : message.queries) {
    const auto kept = kept_.find(query.attempt);
    // Which builds have served must not be answered for a time that this process does not know.
    if (kept == kept_.end() && !knowsPastBuilds(now)) continue;
    const std::uint64_t build = kept == kept_.end() ? 0 : kept->second.build;
    const std::vector<std::uint64_t> builds = recentBuilds({query.pool}, now);
    outgoing_[sender].answers.push_back({query.attempt, build, builds.size() > 1, soleOf(builds)});
  }
  for (const StreamOriginRecord& record : message.answers) {
    if (record.build != 0) keep(record.attempt, {record.build, {}, now, false, true});
    const auto question = questions_.find(record.attempt);
    if (question == questions_.end()) continue;
    if (question->second.unanswered > 0) --question->second.unanswered;
    onSeenBuilds(record, question->second);
  }
  return !message.answers.empty();
}

/// Keepers that have seen one build each, but not the same one, have seen several together.
void StreamOriginTable::onSeenBuilds(const StreamOriginRecord& answer, Question& question) {
  const bool differs =
      answer.sole_build != 0 && question.sole_build != 0 && answer.sole_build != question.sole_build;
  question.several_builds |= answer.several_builds || differs;
  if (answer.sole_build != 0) question.sole_build = answer.sole_build;
}

std::vector<StreamOriginMessage> StreamOriginTable::takeMessages() {
  std::vector<StreamOriginMessage> messages;
  for (auto& [gateway, all] : std::exchange(outgoing_, {})) {
    while (!all.begun.empty() || !all.queries.empty() || !all.answers.empty()) {
      messages.push_back({gateway, {takeSome(all.begun), takeSome(all.queries), takeSome(all.answers)}});
    }
  }
  return messages;
}

}  // namespace crankspur::gateway
