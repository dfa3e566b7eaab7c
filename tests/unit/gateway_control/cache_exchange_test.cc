#include "gateway_control/cache_exchange.h"

#include <catch2/catch.hpp>
#include <map>
#include <set>
#include <string>

using namespace crankspur;
using namespace crankspur::gateway;
using namespace std::chrono_literals;

namespace {

const TimePoint kStart(1h);

CachedPart part(std::uint64_t id, std::uint32_t tokens) {
  return {"scope", "model", id, tokens};
}

/// A gateway that applies received notes. `held` is the content that it assumes of the cache, by part.
class Receiver {
public:
  /// @return its requests to the sender.
  std::vector<CacheWanted> receive(const CacheNotes& notes, const std::string& sender = "teller",
                                   TimePoint now = kStart) {
    const ReceivedCacheNotes received = exchange.onNotes(sender, notes, now);
    for (const ReceivedCacheUpdate& update : received.updates) {
      if (update.complete) held.clear();
      for (const CachedPart& cached : update.parts) {
        held[cached.part] = cached.tokens;
        if (cached.tokens == 0) held.erase(cached.part);
      }
    }
    return received.wanted;
  }
  std::vector<CacheWanted> receiveAll(const std::vector<CacheNotes>& all, TimePoint now = kStart) {
    std::vector<CacheWanted> wanted;
    for (const CacheNotes& notes : all) {
      for (const CacheWanted& request : receive(notes, "teller", now)) wanted.push_back(request);
    }
    return wanted;
  }

  CacheExchange exchange;
  std::map<std::uint64_t, std::uint32_t> held;
};

}  // namespace

TEST_CASE(
    "all gateways choose the same follower, and a membership change moves only the caches of the removed "
    "member",
    "[gateway][cache_exchange]") {
  std::vector<std::string> members;
  for (int index = 0; index < 20; ++index) members.push_back("10.0.0." + std::to_string(index) + ":1");
  std::map<std::string, int> load;
  int moved = 0;
  std::vector<std::string> fewer(members.begin() + 1, members.end());
  std::vector<std::string> reversed(members.rbegin(), members.rend());
  for (int engine = 0; engine < 400; ++engine) {
    const std::string id = "i-" + std::to_string(engine);
    const std::string follower = followerOf(id, members);
    CHECK(followerOf(id, reversed) == follower);
    ++load[follower];
    const bool stays = followerOf(id, fewer) == follower;
    moved += stays ? 0 : 1;
    CHECK((stays || follower == members.front()));
  }
  CHECK(load.size() == 20);
  CHECK(moved == load[members.front()]);
}

TEST_CASE("updates of a followed cache are applied in order by the other gateways",
          "[gateway][cache_exchange]") {
  CacheExchange sender;
  Receiver other;
  CHECK_FALSE(sender.hasNotes());
  sender.onOwnUpdate("e1", {part(1, 160), part(2, 32)}, true);
  CHECK(other.receiveAll(sender.takeNotes()).empty());
  CHECK_FALSE(sender.hasNotes());
  sender.onOwnUpdate("e1", {part(2, 0), part(3, 16)}, false);
  CHECK(other.receiveAll(sender.takeNotes()).empty());
  CHECK(other.held == std::map<std::uint64_t, std::uint32_t>{{1, 160}, {3, 16}});
}

TEST_CASE(
    "a lost datagram is detected by the next one, and the complete content is requested at a limited rate",
    "[gateway][cache_exchange]") {
  CacheExchange sender;
  Receiver other;
  sender.onOwnUpdate("e1", {part(1, 160)}, true);
  other.receiveAll(sender.takeNotes());
  sender.onOwnUpdate("e1", {part(2, 32)}, false);
  sender.takeNotes();  // Lost.
  sender.onOwnUpdate("e1", {part(3, 16)}, false);
  const std::vector<CacheWanted> wanted = other.receiveAll(sender.takeNotes());
  REQUIRE(wanted.size() == 1);
  CHECK(wanted.front().backend == "e1");
  CHECK(other.held == std::map<std::uint64_t, std::uint32_t>{{1, 160}, {3, 16}});
  CHECK(other.receiveAll(sender.onWanted(wanted.front())).empty());
  CHECK(other.held == std::map<std::uint64_t, std::uint32_t>{{1, 160}, {2, 32}, {3, 16}});
  // Further losses soon after do not cause further requests.
  for (int loss = 0; loss < 3; ++loss) {
    sender.onOwnUpdate("e1", {part(4, 16)}, false);
    sender.takeNotes();
    sender.onOwnUpdate("e1", {part(5, 16)}, false);
    CHECK(other.receiveAll(sender.takeNotes(), kStart + 500ms).empty());
  }
  sender.takeNotes();
  sender.onOwnUpdate("e1", {part(6, 16)}, false);
  sender.takeNotes();
  sender.onOwnUpdate("e1", {part(7, 16)}, false);
  CHECK(other.receiveAll(sender.takeNotes(), kStart + 1s).size() == 1);
}

TEST_CASE("duplicated and late datagrams do not restore removed parts", "[gateway][cache_exchange]") {
  CacheExchange sender;
  Receiver other;
  sender.onOwnUpdate("e1", {part(1, 160)}, true);
  const auto first = sender.takeNotes();
  sender.onOwnUpdate("e1", {part(2, 32)}, false);
  const auto second = sender.takeNotes();
  sender.onOwnUpdate("e1", {part(2, 0)}, false);
  const auto third = sender.takeNotes();
  other.receiveAll(first);
  other.receiveAll(second);
  other.receiveAll(third);
  other.receiveAll(second);
  CHECK(other.held == std::map<std::uint64_t, std::uint32_t>{{1, 160}});
}

TEST_CASE("a large cache is sent in several datagrams, and the loss of one is detected",
          "[gateway][cache_exchange]") {
  CacheExchange sender;
  std::vector<CachedPart> parts;
  for (std::uint64_t id = 1; id <= 1000; ++id) parts.push_back(part(id, 16));
  sender.onOwnUpdate("e1", parts, true);
  const std::vector<CacheNotes> datagrams = sender.takeNotes();
  REQUIRE(datagrams.size() == 3);
  Receiver all_received;
  CHECK(all_received.receiveAll(datagrams).empty());
  CHECK(all_received.held.size() == 1000);
  Receiver one_lost;
  one_lost.receive(datagrams[0]);
  CHECK(one_lost.receive(datagrams[2]).size() == 1);
  CHECK(one_lost.receiveAll(sender.onWanted({"e1"})).empty());
  CHECK(one_lost.held.size() == 1000);
}

TEST_CASE("the complete content is requested from a new sender of a cache, including one that restarted",
          "[gateway][cache_exchange]") {
  Receiver other;
  CacheExchange before;
  before.onOwnUpdate("e1", {part(1, 160)}, true);
  other.receiveAll(before.takeNotes());
  CacheExchange after;
  after.onOwnUpdate("e1", {part(2, 32)}, false);
  for (const CacheNotes& notes : after.takeNotes()) CHECK(other.receive(notes, "successor").size() == 1);
  for (const CacheNotes& notes : after.onWanted({"e1"})) other.receive(notes, "successor");
  CHECK(other.held == std::map<std::uint64_t, std::uint32_t>{{2, 32}});
}

TEST_CASE("a gateway that follows a cache itself ignores notes of others on it",
          "[gateway][cache_exchange]") {
  CacheExchange own;
  own.onOwnUpdate("e1", {part(1, 160)}, true);
  CacheExchange sender;
  sender.onOwnUpdate("e1", {part(9, 16)}, true);
  for (const CacheNotes& notes : sender.takeNotes())
    CHECK(own.onNotes("teller", notes, kStart).updates.empty());
  own.removeOwn("e1");
  CHECK(own.onWanted({"e1"}).empty());
  CHECK_FALSE(own.hasNotes());
  sender.onOwnUpdate("e1", {part(10, 16)}, false);
  for (const CacheNotes& notes : sender.takeNotes())
    CHECK(own.onNotes("teller", notes, kStart).updates.size() == 1);
}

TEST_CASE("state of a back end that left the list is dropped", "[gateway][cache_exchange]") {
  CacheExchange sender;
  Receiver other;
  sender.onOwnUpdate("e1", {part(1, 160)}, true);
  sender.onOwnUpdate("e2", {part(2, 160)}, true);
  other.receiveAll(sender.takeNotes());
  other.exchange.retain({"e2"});
  sender.onOwnUpdate("e1", {part(3, 16)}, false);
  sender.onOwnUpdate("e2", {part(4, 16)}, false);
  const std::vector<CacheWanted> wanted = other.receiveAll(sender.takeNotes());
  REQUIRE(wanted.size() == 1);
  CHECK(wanted.front().backend == "e1");
  sender.onOwnUpdate("e1", {part(5, 16)}, false);
  sender.retain({"e2"});
  CHECK(sender.onWanted({"e1"}).empty());
  CHECK_FALSE(sender.onWanted({"e2"}).empty());
  CHECK_FALSE(sender.hasNotes());
}
