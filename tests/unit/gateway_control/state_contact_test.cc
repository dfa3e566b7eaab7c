/// @file Guards against requests that run with a revoked key. A gateway that was partitioned from the
/// platform and suspended reads the platform again. While its new configuration waits behind queued requests,
/// these are checked against the earlier one, which must not count as confirmed by the contact of the new
/// one.

#include "gateway_control/state_contact.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include "gateway_control/gateway_control.h"
#include "unit/gateway_control/platform_link_fake.h"
#include "unit/run_until.h"

using namespace crankspur;
using namespace crankspur::gateway;
using namespace std::chrono_literals;

namespace {

constexpr Duration kKeyValidity = 5s;

NodeSettings nodeSettings() {
  NodeSettings settings;
  settings.name = "gateway-1";
  settings.gossip = "127.0.0.1:0";
  settings.front = "127.0.0.1:0";
  settings.key_validity = kKeyValidity;
  return settings;
}

/// The control side of a gateway, whose snapshots are kept.
struct ControlFixture {
  ControlFixture() {
    REQUIRE_FALSE(control.listen());
    control.start();
    runUntil(context, [this] { return !platform.record_reads.empty(); });
    platform.completeRecordReads(true);
  }

  GatewayControlOutputs outputs() {
    GatewayControlOutputs outputs;
    outputs.publish = [this](std::shared_ptr<const GatewaySnapshot> snapshot) {
      snapshots.push_back(std::move(snapshot));
    };
    outputs.on_cached_parts = [](CachedPartsUpdate) {};
    outputs.on_crash_update = [](CrashUpdate) {};
    outputs.on_connections_silent = [] {};
    return outputs;
  }

  void configure(std::uint64_t version) {
    auto configuration = std::make_shared<Configuration>();
    configuration->version = version;
    platform.platform_callbacks.on_configuration(configuration);
  }

  /// Waits until a snapshot has the configuration.
  std::shared_ptr<const GatewaySnapshot> awaitConfiguration(std::uint64_t version) {
    const auto has_version = [&] {
      platform.completeRecordReads(true);
      return !snapshots.empty() && snapshots.back()->configuration != nullptr &&
             snapshots.back()->configuration->version == version;
    };
    runUntil(context, has_version);
    return snapshots.back();
  }

  const TimePoint now = SteadyClock().now();
  boost::asio::io_context context{1};
  NullEventLog log;
  FakePlatformLink platform;
  std::vector<std::shared_ptr<const GatewaySnapshot>> snapshots;
  GatewayControl control{context.get_executor(), nodeSettings(), 7, platform, outputs(), log};
};

}  // namespace

TEST_CASE("the contact that comes with a configuration does not confirm the keys of the one before",
          "[gateway][state_contact]") {
  ControlFixture fixture;
  fixture.configure(1);
  fixture.platform.platform_callbacks.on_contact(fixture.now);
  const auto earlier = fixture.awaitConfiguration(1);
  const TimePoint later = fixture.now + 2 * kKeyValidity;
  CHECK_FALSE(earlier->keysCurrent(later));
  fixture.configure(2);
  fixture.platform.platform_callbacks.on_contact(later);
  const auto newer = fixture.awaitConfiguration(2);
  CHECK_FALSE(earlier->keysCurrent(later));
  CHECK(newer->keysCurrent(later));
}

TEST_CASE("the contact that comes with a change of the list does not confirm the list before",
          "[gateway][state_contact]") {
  ControlFixture fixture;
  fixture.platform.platform_callbacks.on_full_list({});
  fixture.platform.platform_callbacks.on_list_contact(fixture.now);
  fixture.configure(1);
  fixture.platform.platform_callbacks.on_contact(fixture.now);
  const auto earlier = fixture.awaitConfiguration(1);
  ListedBackend listed;
  listed.id = "b";
  listed.address = "127.0.0.1:9";
  fixture.platform.platform_callbacks.on_backend(listed);
  fixture.platform.platform_callbacks.on_list_contact(fixture.now + 1s);
  CHECK(earlier->listAge(fixture.now + 1s) == 1s);
  runUntil(fixture.context, [&] { return fixture.snapshots.back()->backends.size() == 1; });
  CHECK(fixture.snapshots.back()->listAge(fixture.now + 1s) == Duration(0));
}

// A gateway may read the platform's state from another one, whose contact is older than this process.
TEST_CASE("a configuration is in force once its age is known, and is as old as its contact states",
          "[gateway][state_contact]") {
  ControlFixture fixture;
  fixture.configure(1);
  for (const auto& snapshot : fixture.snapshots) CHECK(snapshot->configuration == nullptr);
  fixture.platform.platform_callbacks.on_contact(fixture.now - kKeyValidity);
  CHECK_FALSE(fixture.awaitConfiguration(1)->keysCurrent(fixture.now));
}

TEST_CASE("a state that changes is known to have been current when the one before was",
          "[gateway][state_contact]") {
  StateContact contact;
  contact.start(TimePoint(1s));
  CHECK_FALSE(contact.isConfirmed());
  CHECK(contact.confirm(TimePoint(10s)));
  const auto earlier = contact.current();
  contact.onChanged();
  CHECK(contact.confirmedAt() == TimePoint(10s));
  CHECK_FALSE(contact.confirm(TimePoint(20s)));
  CHECK(contact.confirmedAt() == TimePoint(20s));
  CHECK(earlier->confirmedAt() == TimePoint(10s));
}
