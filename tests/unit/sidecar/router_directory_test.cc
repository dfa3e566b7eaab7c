#include "sidecar/router_directory.h"

#include <algorithm>
#include <catch2/catch.hpp>

#include "sidecar/bundle_puller.h"

using namespace crankspur;

namespace {

const TimePoint kStart{std::chrono::seconds(10)};

Hello hello(const std::string& name, const std::string& zone, std::uint64_t incarnation) {
  Hello message;
  message.node_name = name;
  message.zone = zone;
  message.region = "creek";
  message.incarnation = incarnation;
  return message;
}

MemberRecord record(const std::string& name, const std::string& address, const std::string& zone,
                    std::uint64_t incarnation, MemberState state = MemberState::Alive) {
  return {name, address, zone, "creek", incarnation, state, 0};
}

bool contains(const std::vector<std::string>& values, const std::string& value) {
  return std::find(values.begin(), values.end(), value) != values.end();
}

}  // namespace

TEST_CASE("seeds are retried until they respond, with increasing backoff", "[sidecar]") {
  RouterDirectory directory("s", "annex", "creek", 1);
  directory.addSeed("a:1");
  CHECK(contains(directory.targetAddresses(kStart), "a:1"));
  directory.onClosed("a:1", kStart);
  CHECK_FALSE(contains(directory.targetAddresses(kStart), "a:1"));
  TimePoint now = kStart + std::chrono::seconds(1);
  CHECK(contains(directory.targetAddresses(now), "a:1"));
  for (int failure = 0; failure < 20; ++failure) directory.onClosed("a:1", now);
  CHECK_FALSE(contains(directory.targetAddresses(now + std::chrono::seconds(1)), "a:1"));
  CHECK(contains(directory.targetAddresses(now + std::chrono::seconds(5)), "a:1"));
}

TEST_CASE("a leaving router gets no new requests, a restarted router gets them immediately", "[sidecar]") {
  RouterDirectory directory("s", "annex", "creek", 1);
  directory.addSeed("a:1");
  REQUIRE(directory.onHello("a:1", hello("r1", "annex", 5)));
  REQUIRE(directory.usableRouters().size() == 1);
  directory.applyRecord(record("r1", "a:1", "annex", 5, MemberState::Leaving));
  CHECK(directory.usableRouters().empty());
  directory.applyRecord(record("r1", "a:1", "annex", 5));
  CHECK(directory.usableRouters().empty());
  directory.onClosed("a:1", kStart);
  REQUIRE(directory.onHello("a:1", hello("r1", "annex", 6)));
  CHECK(directory.usableRouters().size() == 1);
}

TEST_CASE("a router reachable at two addresses is connected once", "[sidecar]") {
  RouterDirectory directory("s", "annex", "creek", 1);
  directory.addSeed("a:1");
  directory.addSeed("b:1");
  REQUIRE(directory.onHello("a:1", hello("r1", "annex", 5)));
  CHECK_FALSE(directory.onHello("b:1", hello("r1", "annex", 5)));
  directory.onClosed("b:1", kStart);
  CHECK_FALSE(contains(directory.targetAddresses(kStart + std::chrono::hours(1)), "b:1"));
  directory.onClosed("a:1", kStart);
  CHECK(contains(directory.targetAddresses(kStart + std::chrono::hours(1)), "b:1"));
}

TEST_CASE("a router replaced at another address is contacted there", "[sidecar]") {
  RouterDirectory directory("s", "annex", "creek", 1);
  directory.applyRecord(record("r1", "a:1", "annex", 5));
  directory.applyRecord(record("r1", "c:1", "annex", 6));
  CHECK(directory.targetAddresses(kStart) == std::vector<std::string>{"c:1"});
  directory.applyRecord(record("r2", "d:1", "annex", 1, MemberState::Dead));
  CHECK(directory.size() == 1);
}

TEST_CASE("connections are limited: many in the own zone, few elsewhere", "[sidecar]") {
  RouterDirectory directory("s", "annex", "creek", 1);
  for (int number = 0; number < 100; ++number) {
    const std::string text = std::to_string(number);
    directory.applyRecord(record("a" + text, "a:" + text, "annex", 1));
    directory.applyRecord(record("p" + text, "p:" + text, "pump", 1));
    MemberRecord far = record("f" + text, "f:" + text, "dam", 1);
    far.region = "river";
    directory.applyRecord(far);
  }
  const std::vector<std::string> targets = directory.targetAddresses(kStart);
  CHECK(targets.size() == 32 + 4 + 2);
  CHECK(std::count_if(targets.begin(), targets.end(), [](const auto& name) { return name[0] == 'a'; }) == 32);
  // Connected routers count towards the limits.
  for (const std::string& address : targets) {
    Hello message = hello(std::string(1, address[0]) + address.substr(2), "annex", 1);
    message.zone = address[0] == 'a' ? "annex" : address[0] == 'p' ? "pump" : "dam";
    if (address[0] == 'f') message.region = "river";
    REQUIRE(directory.onHello(address, message));
  }
  CHECK(directory.targetAddresses(kStart).size() == 38);
}

TEST_CASE("one bundle pull runs at a time, from a router that holds a newer bundle", "[sidecar]") {
  BundlePuller puller;
  CHECK_FALSE(puller.onVersion("r1", 4, 4, kStart));
  CHECK(puller.onVersion("r1", 5, 4, kStart));
  CHECK_FALSE(puller.onVersion("r2", 5, 4, kStart));
  puller.onRouterLost("r1");
  CHECK(puller.onVersion("r2", 5, 4, kStart));
  CHECK(puller.onVersion("r3", 6, 4, kStart + BundlePuller::kPullTimeout));
  puller.onBody();
  CHECK(puller.onVersion("r1", 6, 5, kStart + BundlePuller::kPullTimeout));
}
