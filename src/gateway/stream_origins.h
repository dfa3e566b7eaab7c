#pragma once
/// @file Which build of the back ends' software began each resumable stream. Events of two builds do not fit
/// together, so that a broken stream may go on only at the build that began it: in the same response, in the
/// client's next attempt, and at another gateway.
///
/// While the back ends that may serve a stream have several builds, or its list may be outdated, a gateway
/// tells the origin of each stream that it begins to a few gateways, its keepers, which every gateway selects
/// alike by the id of the attempt. One that has to resume a stream which it does not know asks them. If they
/// do not know it either, the stream may go on only if the platform, read after the request arrived, states
/// one build: a gateway may not have seen a build that serves. Messages may be lost. Pure decision code.

#include <absl/container/flat_hash_map.h>
#include <absl/container/inlined_vector.h>

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/time.h"
#include "gateway/gateway_snapshot.h"
#include "internal_protocol/messages.h"

namespace crankspur::gateway {

/// A message to another gateway. One to this gateway itself is not sent: its origins are for its own record.
struct StreamOriginMessage {
  std::string gateway;  ///< Its name.
  StreamOrigins message;
};

/// What is known of the origin of a stream.
struct StreamOrigin {
  enum class State {
    known,      ///< It may go on at back ends of `build`.
    any_build,  ///< At most one build has served, `build` if it is not 0: the stream began at no other.
    asked,      ///< Its keepers were asked; their answers and a read of the platform, or some time, decide.
    unknown,    ///< Several builds may serve, and nobody knows which of them began it.
  };
  /// What the state rests on.
  enum class Source {
    kept,       ///< This gateway began the stream, or another one told it the build.
    confirmed,  ///< The builds that the platform stated, and those that gateways have seen.
    none,       ///< Several builds were seen, or the platform did not respond in time.
  };
  State state = State::unknown;
  std::uint64_t build = 0;  ///< See buildId().
  Source source = Source::none;
  std::size_t builds_seen = 0;  ///< In its pools, in the time for which clients resume streams.
  std::size_t unanswered = 0;   ///< Gateways that were asked and have not answered.
};

/// @return the state as written in logs, for example "any_build".
std::string_view nameOf(StreamOrigin::State state);
/// @return the source as written in logs.
std::string_view nameOf(StreamOrigin::Source source);

/// A client resumes a stream within this time, if at all: its own deadline is shorter.
inline constexpr Duration kStreamResumeTime = std::chrono::seconds(30);

/// @return the id of a build in messages and lookups; never 0.
std::uint64_t buildId(const std::string& build);

/// Hashes of the names of the pools that may serve a stream.
using PoolIds = absl::InlinedVector<std::uint64_t, 2>;

/// @return the pools of the route.
PoolIds poolIdsOf(const Route& route);

/// See the file comment. Not thread-safe.
class StreamOriginTable {
public:
  void onSnapshot(const GatewaySnapshot& snapshot, TimePoint now);
  /// The platform stated these builds.
  void onConfirmed(const std::vector<ServedBuild>& builds, TimePoint now);
  /// The first event of a stream was forwarded.
  /// @param attempt id of the client attempt that brings it.
  void onBegun(const std::string& attempt, const PoolIds& pools, std::uint64_t build, TimePoint now);
  /// The response of a stream was complete: it is not resumed.
  void onCompleted(const std::string& attempt);

  /// @param attempt that brought the first event of the stream to be resumed; empty: not stated.
  StreamOrigin lookUp(const std::string& attempt, const PoolIds& pools, TimePoint now);
  /// @return whether the keepers that were asked have answered.
  bool isAnswered(const std::string& attempt) const;
  /// @return the build that began the stream; empty: it is not known.
  std::optional<std::uint64_t> knownBuild(const std::string& attempt) const;
  /// @return whether this gateway has seen several builds that clients may resume streams of.
  bool hasSeveralBuilds(const PoolIds& pools, TimePoint now) const;
  /// Decides after the answers, or without the missing ones.
  /// @param confirmed whether onConfirmed() received what the platform stated after the request arrived.
  StreamOrigin decide(const std::string& attempt, const PoolIds& pools, bool confirmed, TimePoint now);
  /// @return time since this gateway received its first snapshot; 0: it has none.
  Duration age(TimePoint now) const { return started_at_ ? now - *started_at_ : Duration(0); }

  /// Another gateway sent a message.
  /// @return whether it answers a question of this gateway.
  bool onMessage(const std::string& sender, const StreamOrigins& message, TimePoint now);
  /// @return messages to other gateways since the last call.
  std::vector<StreamOriginMessage> takeMessages();
  bool hasMessages() const { return !outgoing_.empty(); }

private:
  struct Kept {
    std::uint64_t build = 0;
    PoolIds pools;  ///< Of a stream that this gateway began.
    TimePoint kept_at{};
    bool own = false;   ///< This gateway began it.
    bool told = false;  ///< Its keepers know it.
  };
  struct Question {
    std::size_t unanswered = 0;
    bool several_builds = false;   ///< A keeper has seen several builds in one of the pools.
    std::uint64_t sole_build = 0;  ///< The only one that keepers have seen; 0: none has answered so.
    TimePoint asked_at{};
  };

  bool recordBuild(const ServedBuild& served);
  void keep(std::uint64_t attempt, const Kept& kept);
  void removeExpired(TimePoint now);
  void tellUntold(TimePoint now);
  void tell(std::uint64_t attempt, Kept& kept);
  bool isWorthTelling(const PoolIds& pools, TimePoint now) const;
  std::vector<std::uint64_t> recentBuilds(const PoolIds& pools, TimePoint now) const;
  static void onSeenBuilds(const StreamOriginRecord& answer, Question& question);
  bool isListFresh(TimePoint now) const;
  bool knowsPastBuilds(TimePoint now) const;
  std::vector<std::string> keepersOf(std::uint64_t attempt) const;
  StreamOrigin originOf(StreamOrigin::State state, std::uint64_t build, const PoolIds& pools,
                        TimePoint now) const;

  std::string own_name_;
  std::vector<std::string> peers_;
  std::shared_ptr<const PlatformContact> list_contact_;
  std::optional<TimePoint> started_at_;
  bool builds_before_known_ = true;
  bool list_was_fresh_ = true;  ///< At the last snapshot.
  /// By pool, then by build: when it was last listed.
  absl::flat_hash_map<std::uint64_t, absl::flat_hash_map<std::uint64_t, TimePoint>> builds_;
  absl::flat_hash_map<std::uint64_t, Kept> kept_;           ///< By hash of the attempt's id.
  std::deque<std::pair<TimePoint, std::uint64_t>> expiry_;  ///< Of kept_, oldest first.
  absl::flat_hash_map<std::uint64_t, Question> questions_;  ///< By hash of the attempt's id.
  std::map<std::string, StreamOrigins> outgoing_;           ///< By gateway.
};

}  // namespace crankspur::gateway
