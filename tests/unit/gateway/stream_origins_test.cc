/// @file Guards against streams that are joined from two builds after all gateways were killed: those that
/// knew which build began a stream have forgotten it, and the build that began it may have left, so that the
/// list shows one.

#include "gateway/stream_origins.h"

#include <algorithm>
#include <catch2/catch.hpp>

#include "base/hash.h"

using namespace crankspur;
using namespace crankspur::gateway;
using namespace std::chrono_literals;

namespace {

constexpr char kPool[] = "lm";
const PoolIds kPools = {hashBytes(kPool)};
constexpr char kAttempt[] = "attempt";
const TimePoint kStart(1h);
const std::vector<std::string> kNames = {"a", "b", "c", "d"};
using State = StreamOrigin::State;

/// What a gateway of the fleet knows.
struct Knowledge {
  static Knowledge none() { return {{}, {}, false, false}; }

  std::vector<std::string> listed;    ///< Builds of the back ends.
  std::vector<std::string> recorded;  ///< Builds of the record.
  bool record_known = true;
  bool has_snapshot = true;  ///< False: its traffic thread has received nothing yet.
};

GatewaySnapshot snapshotOf(const std::string& name, const Knowledge& knowledge, TimePoint now) {
  GatewaySnapshot snapshot;
  snapshot.own_name = name;
  for (const std::string& peer : kNames) {
    if (peer != name) snapshot.peers.push_back({peer, "", ""});
  }
  for (const std::string& build : knowledge.listed) {
    Backend backend;
    backend.view.pool = kPool;
    backend.build = build;
    snapshot.backends.push_back(backend);
  }
  for (const std::string& build : knowledge.recorded) {
    snapshot.builds_before.push_back({hashBytes(kPool), buildId(build), now});
  }
  snapshot.builds_before_known = knowledge.record_known;
  return snapshot;
}

/// A fleet of gateways that were all started at kStart.
class Fleet {
public:
  /// @param knowledge of each gateway; the last one is that of all further gateways.
  explicit Fleet(const std::vector<Knowledge>& knowledge) : tables_(kNames.size()) {
    for (std::size_t index = 0; index < kNames.size(); ++index) {
      const Knowledge& own = knowledge[std::min(index, knowledge.size() - 1)];
      if (own.has_snapshot) tables_[index].onSnapshot(snapshotOf(kNames[index], own, kStart), kStart);
    }
  }

  StreamOriginTable& table(std::size_t index) { return tables_[index]; }

  /// @param stated builds that the platform states; empty: it does not respond.
  /// @return what the gateway decides for a stream that it does not know.
  State resume(std::size_t asking, const std::vector<std::string>& stated, TimePoint now = kStart + 1s) {
    StreamOriginTable& table = tables_[asking];
    const StreamOrigin origin = table.lookUp(kAttempt, kPools, now);
    if (origin.state != State::asked) return origin.state;
    deliver(now);  // The queries.
    deliver(now);  // The answers.
    std::vector<ServedBuild> builds;
    for (const std::string& build : stated) builds.push_back({kPools[0], buildId(build), now});
    table.onConfirmed(builds, now);
    return table.decide(kAttempt, kPools, !stated.empty(), now).state;
  }

  void deliver(TimePoint now) {
    std::vector<std::pair<std::string, StreamOriginMessage>> messages;
    for (std::size_t index = 0; index < kNames.size(); ++index) {
      for (StreamOriginMessage& message : tables_[index].takeMessages()) {
        messages.emplace_back(kNames[index], std::move(message));
      }
    }
    for (const auto& [sender, message] : messages) {
      const auto receiver = std::find(kNames.begin(), kNames.end(), message.gateway) - kNames.begin();
      tables_[static_cast<std::size_t>(receiver)].onMessage(sender, message.message, now);
    }
  }

private:
  std::vector<StreamOriginTable> tables_;
};

}  // namespace

TEST_CASE("after all gateways restarted a stream is not continued if a build that left is on record",
          "[stream_origins]") {
  Fleet fleet({{{"new"}, {"old", "new"}}});
  for (std::size_t index = 0; index < kNames.size(); ++index) {
    CHECK(fleet.resume(index, {"old", "new"}) == State::unknown);
  }
}

TEST_CASE("after all gateways restarted a stream is not continued while the record is not known",
          "[stream_origins]") {
  Fleet fleet({{{"new"}, {}, false}});
  for (std::size_t index = 0; index < kNames.size(); ++index)
    CHECK(fleet.resume(index, {}) == State::unknown);
}

TEST_CASE("after all gateways restarted a stream continues anywhere if one build alone is on record",
          "[stream_origins]") {
  Fleet fleet({{{"only"}, {"only"}}});
  for (std::size_t index = 0; index < kNames.size(); ++index) {
    CHECK(fleet.resume(index, {"only"}) == State::any_build);
  }
}

// All of them may have missed a build, for example while they were partitioned from the platform together.
TEST_CASE("a gateway continues no unknown stream on what others have seen if the platform does not respond",
          "[stream_origins]") {
  Fleet fleet({{{"only"}, {}, false}, {{"only"}, {"only"}}});
  CHECK(fleet.resume(0, {}) == State::unknown);
}

// Gateways that had just started answered that one build had served, before they knew any.
TEST_CASE("gateways that have received no snapshot do not answer for the builds that have served",
          "[stream_origins]") {
  Fleet fleet({{{"new"}, {}, false}, Knowledge::none()});
  fleet.table(0).lookUp(kAttempt, kPools, kStart + 1s);
  fleet.deliver(kStart + 1s);
  for (std::size_t index = 1; index < kNames.size(); ++index) CHECK_FALSE(fleet.table(index).hasMessages());
  CHECK(fleet.resume(0, {}) == State::unknown);
}

// Both had seen one build, each another one: the one on record had left, and the other gateway could not read
// the record.
TEST_CASE("a stream is not continued if the gateway and those that answer have seen different builds",
          "[stream_origins]") {
  Fleet fleet({{{"new"}, {}, false}, {{}, {"old"}}});
  CHECK(fleet.resume(0, {}) == State::unknown);
  CHECK(fleet.resume(0, {"new"}) == State::unknown);
}

TEST_CASE("a stream is not continued if two gateways that answer have seen different builds",
          "[stream_origins]") {
  Fleet fleet({{{}, {}, false}, {{}, {"old"}}, {{"new"}, {"new"}}});
  CHECK(fleet.resume(0, {}) == State::unknown);
  CHECK(fleet.resume(0, {"new"}) == State::unknown);
}

TEST_CASE("the builds on record are forgotten once no client resumes their streams", "[stream_origins]") {
  Fleet fleet({{{"new"}, {"old", "new"}}});
  const TimePoint later = kStart + kStreamResumeTime + 1s;
  for (std::size_t index = 0; index < kNames.size(); ++index) {
    fleet.table(index).onSnapshot(snapshotOf(kNames[index], {{"new"}, {}}, later), later);
  }
  CHECK(fleet.resume(0, {"new"}, later) == State::any_build);
}

TEST_CASE("a stream whose beginning a keeper knows continues at its build although another one is on record",
          "[stream_origins]") {
  Fleet fleet({{{"old", "new"}, {"old", "new"}}});
  fleet.table(0).onBegun(kAttempt, kPools, buildId("old"), kStart);
  fleet.deliver(kStart);
  for (std::size_t index = 0; index < kNames.size(); ++index)
    CHECK(fleet.resume(index, {"old", "new"}) == State::known);
}

// Gateways that had just been restarted together did not know each other yet: they told nobody which build
// began their streams, and their own records lacked it as well.
TEST_CASE("a gateway that knows no other one records the origins of its streams, and tells them later",
          "[stream_origins]") {
  StreamOriginTable table;
  GatewaySnapshot snapshot = snapshotOf("a", {{"old", "new"}, {}}, kStart);
  const std::vector<PeerGateway> peers = std::exchange(snapshot.peers, {});
  table.onSnapshot(snapshot, kStart);
  table.onBegun(kAttempt, kPools, buildId("old"), kStart);
  const std::vector<StreamOriginMessage> recorded = table.takeMessages();
  REQUIRE(recorded.size() == 1);
  CHECK(recorded[0].gateway == "a");
  REQUIRE(recorded[0].message.begun.size() == 1);
  CHECK(recorded[0].message.begun[0].build == buildId("old"));
  snapshot.peers = peers;
  table.onSnapshot(snapshot, kStart + 1s);
  const std::vector<StreamOriginMessage> told = table.takeMessages();
  REQUIRE_FALSE(told.empty());
  for (const StreamOriginMessage& message : told) CHECK(message.gateway != "a");
}
