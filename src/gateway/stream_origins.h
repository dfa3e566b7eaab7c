#pragma once
/// @file Which build of the back ends' software began each resumable stream. Events of two builds do not fit
/// together, so that a broken stream may go on only at the build that began it: in the same response, in the
/// client's next attempt, and at another gateway.
///
/// While the back ends of a pool have several builds, a gateway tells the origin of each stream that it
/// begins to a few gateways, its keepers, which every gateway selects alike by the id of the attempt. One
/// that has to resume a stream which it does not know asks them. Messages may be lost. Pure decision code.

#include <absl/container/flat_hash_map.h>

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
    asked,      ///< Its keepers were asked; their answers, or some time, decide.
    unknown,    ///< Several builds serve, and nobody knows which of them began it.
  };
  /// What the state rests on.
  enum class Source {
    kept,         ///< This gateway began the stream, or another one told it the build.
    seen_builds,  ///< The builds that this gateway and those that answered have seen.
  };
  State state = State::unknown;
  std::uint64_t build = 0;  ///< See buildId().
  Source source = Source::seen_builds;
  std::size_t builds_seen = 0;  ///< In the pool, in the time for which clients resume streams.
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

/// See the file comment. Not thread-safe.
class StreamOriginTable {
public:
  void onSnapshot(const GatewaySnapshot& snapshot, TimePoint now);
  /// The first event of a stream was forwarded.
  /// @param attempt id of the client attempt that brings it.
  void onBegun(const std::string& attempt, const std::string& pool, std::uint64_t build, TimePoint now);
  /// The response of a stream was complete: it is not resumed.
  void onCompleted(const std::string& attempt);

  /// @param attempt that brought the first event of the stream to be resumed; empty: not stated.
  StreamOrigin lookUp(const std::string& attempt, const std::string& pool, TimePoint now);
  /// @return whether the keepers that were asked have answered.
  bool isAnswered(const std::string& attempt) const;
  /// Decides after the answers, or without the missing ones.
  StreamOrigin decide(const std::string& attempt, const std::string& pool, TimePoint now);
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
    std::uint64_t pool = 0;
    TimePoint kept_at{};
    bool own = false;   ///< This gateway began it.
    bool told = false;  ///< Its keepers know it.
  };
  struct Question {
    std::size_t unanswered = 0;
    bool several_builds = false;   ///< The keepers have seen several builds in the pool.
    std::uint64_t sole_build = 0;  ///< The only one that keepers have seen; 0: none has answered so.
    TimePoint asked_at{};
  };

  void keep(std::uint64_t attempt, const Kept& kept);
  void removeExpired(TimePoint now);
  void tellUntold(std::uint64_t pool);
  void tell(std::uint64_t attempt, Kept& kept);
  bool hasSeveralBuilds(std::uint64_t pool, TimePoint now) const;
  std::vector<std::uint64_t> recentBuilds(std::uint64_t pool, TimePoint now) const;
  static void onSeenBuilds(const StreamOriginRecord& answer, Question& question);
  bool isListFresh(TimePoint now) const;
  bool knowsPastBuilds(TimePoint now) const;
  std::vector<std::string> keepersOf(std::uint64_t attempt) const;
  StreamOrigin originOf(StreamOrigin::State state, std::uint64_t build, std::uint64_t pool,
                        TimePoint now) const;

  std::string own_name_;
  std::vector<std::string> peers_;
  std::shared_ptr<const PlatformContact> list_contact_;
  std::optional<TimePoint> started_at_;
  bool builds_before_known_ = true;
  /// By pool, then by build: when it was last listed.
  absl::flat_hash_map<std::uint64_t, absl::flat_hash_map<std::uint64_t, TimePoint>> builds_;
  absl::flat_hash_map<std::uint64_t, Kept> kept_;           ///< By hash of the attempt's id.
  std::deque<std::pair<TimePoint, std::uint64_t>> expiry_;  ///< Of kept_, oldest first.
  absl::flat_hash_map<std::uint64_t, Question> questions_;  ///< By hash of the attempt's id.
  std::map<std::string, StreamOrigins> outgoing_;           ///< By gateway.
};

}  // namespace crankspur::gateway
