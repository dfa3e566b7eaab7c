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

/// What a Receiver believes a cache to hold, by part.
class Receiver {
public:
  /// @return what it asks the sender for.
  std::vector<CacheWanted> hear(const CacheNotes& notes, const std::string& sender = "teller",
                                TimePoint now = kStart) {
    const ReceivedCacheNotes received = exchange.onNotes(sender, notes, now);
    for (const ReceivedCacheUpdate& news : received.news) {
      if (news.complete) held.clear();
      for (const CachedPart& one : news.parts) {
        held[one.part] = one.tokens;
        if (one.tokens == 0) held.erase(one.part);
      }
    }
    return received.wanted;
  }
  std::vector<CacheWanted> hearAll(const std::vector<CacheNotes>& all, TimePoint now = kStart) {
    std::vector<CacheWanted> wanted;
    for (const CacheNotes& notes : all) {
      for (const CacheWanted& one : hear(notes, "teller", now)) wanted.push_back(one);
    }
    return wanted;
  }

  CacheExchange exchange;
  std::map<std::uint64_t, std::uint32_t> held;
};

}  // namespace

TEST_CASE("every gateway names the same follower, and a change of members moves few caches",
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

TEST_CASE("news of a followed cache reach the others in order", "[gateway][cache_exchange]") {
  CacheExchange sender;
  Receiver other;
  CHECK_FALSE(sender.hasNotes());
  sender.onOwnNews("e1", {part(1, 160), part(2, 32)}, true);
  CHECK(other.hearAll(sender.takeNotes()).empty());
  CHECK_FALSE(sender.hasNotes());
  sender.onOwnNews("e1", {part(2, 0), part(3, 16)}, false);
  CHECK(other.hearAll(sender.takeNotes()).empty());
  CHECK(other.held == std::map<std::uint64_t, std::uint32_t>{{1, 160}, {3, 16}});
}

TEST_CASE("a lost datagram is noticed by the next one and the whole is asked for, once in a while",
          "[gateway][cache_exchange]") {
  CacheExchange sender;
  Receiver other;
  sender.onOwnNews("e1", {part(1, 160)}, true);
  other.hearAll(sender.takeNotes());
  sender.onOwnNews("e1", {part(2, 32)}, false);
  sender.takeNotes();  // Lost.
  sender.onOwnNews("e1", {part(3, 16)}, false);
  const std::vector<CacheWanted> wanted = other.hearAll(sender.takeNotes());
  REQUIRE(wanted.size() == 1);
  CHECK(wanted.front().backend == "e1");
  CHECK(other.held == std::map<std::uint64_t, std::uint32_t>{{1, 160}, {3, 16}});
  CHECK(other.hearAll(sender.onWanted(wanted.front())).empty());
  CHECK(other.held == std::map<std::uint64_t, std::uint32_t>{{1, 160}, {2, 32}, {3, 16}});
  // Further losses at once do not ask again and again.
  for (int loss = 0; loss < 3; ++loss) {
    sender.onOwnNews("e1", {part(4, 16)}, false);
    sender.takeNotes();
    sender.onOwnNews("e1", {part(5, 16)}, false);
    CHECK(other.hearAll(sender.takeNotes(), kStart + 500ms).empty());
  }
  sender.takeNotes();
  sender.onOwnNews("e1", {part(6, 16)}, false);
  sender.takeNotes();
  sender.onOwnNews("e1", {part(7, 16)}, false);
  CHECK(other.hearAll(sender.takeNotes(), kStart + 1s).size() == 1);
}

TEST_CASE("doubled and late datagrams do not bring back what is gone", "[gateway][cache_exchange]") {
  CacheExchange sender;
  Receiver other;
  sender.onOwnNews("e1", {part(1, 160)}, true);
  const auto first = sender.takeNotes();
  sender.onOwnNews("e1", {part(2, 32)}, false);
  const auto second = sender.takeNotes();
  sender.onOwnNews("e1", {part(2, 0)}, false);
  const auto third = sender.takeNotes();
  other.hearAll(first);
  other.hearAll(second);
  other.hearAll(third);
  other.hearAll(second);
  CHECK(other.held == std::map<std::uint64_t, std::uint32_t>{{1, 160}});
}

TEST_CASE("a large cache is told in several datagrams, and the loss of one is noticed",
          "[gateway][cache_exchange]") {
  CacheExchange sender;
  std::vector<CachedPart> parts;
  for (std::uint64_t id = 1; id <= 1000; ++id) parts.push_back(part(id, 16));
  sender.onOwnNews("e1", parts, true);
  const std::vector<CacheNotes> datagrams = sender.takeNotes();
  REQUIRE(datagrams.size() == 3);
  Receiver whole;
  CHECK(whole.hearAll(datagrams).empty());
  CHECK(whole.held.size() == 1000);
  Receiver lacking;
  lacking.hear(datagrams[0]);
  CHECK(lacking.hear(datagrams[2]).size() == 1);
  CHECK(lacking.hearAll(sender.onWanted({"e1"})).empty());
  CHECK(lacking.held.size() == 1000);
}

TEST_CASE("a new teller of a cache is asked for the whole, also one that restarted",
          "[gateway][cache_exchange]") {
  Receiver other;
  CacheExchange before;
  before.onOwnNews("e1", {part(1, 160)}, true);
  other.hearAll(before.takeNotes());
  CacheExchange after;
  after.onOwnNews("e1", {part(2, 32)}, false);
  for (const CacheNotes& notes : after.takeNotes()) CHECK(other.hear(notes, "successor").size() == 1);
  for (const CacheNotes& notes : after.onWanted({"e1"})) other.hear(notes, "successor");
  CHECK(other.held == std::map<std::uint64_t, std::uint32_t>{{2, 32}});
}

TEST_CASE("a gateway that follows a cache itself does not listen to others on it",
          "[gateway][cache_exchange]") {
  CacheExchange own;
  own.onOwnNews("e1", {part(1, 160)}, true);
  CacheExchange sender;
  sender.onOwnNews("e1", {part(9, 16)}, true);
  for (const CacheNotes& notes : sender.takeNotes()) CHECK(own.onNotes("teller", notes, kStart).news.empty());
  own.forgetOwn("e1");
  CHECK(own.onWanted({"e1"}).empty());
  CHECK_FALSE(own.hasNotes());
  sender.onOwnNews("e1", {part(10, 16)}, false);
  for (const CacheNotes& notes : sender.takeNotes())
    CHECK(own.onNotes("teller", notes, kStart).news.size() == 1);
}

TEST_CASE("of a back end that left the list nothing is kept", "[gateway][cache_exchange]") {
  CacheExchange sender;
  Receiver other;
  sender.onOwnNews("e1", {part(1, 160)}, true);
  sender.onOwnNews("e2", {part(2, 160)}, true);
  other.hearAll(sender.takeNotes());
  other.exchange.retain({"e2"});
  sender.onOwnNews("e1", {part(3, 16)}, false);
  sender.onOwnNews("e2", {part(4, 16)}, false);
  const std::vector<CacheWanted> wanted = other.hearAll(sender.takeNotes());
  REQUIRE(wanted.size() == 1);
  CHECK(wanted.front().backend == "e1");
  sender.onOwnNews("e1", {part(5, 16)}, false);
  sender.retain({"e2"});
  CHECK(sender.onWanted({"e1"}).empty());
  CHECK_FALSE(sender.onWanted({"e2"}).empty());
  CHECK_FALSE(sender.hasNotes());
}
