#include "operator_fixture.h"

using namespace crankspur;
using namespace crankspur::standin;
using Kind = RollOutcome::Kind;

namespace {

BundleBody bodyOf(std::uint64_t version, const std::string& document = "document") {
  return {version, document, "author", "approver"};
}

RollOutcome roll(FakePlatformPort& port, const BundleBody& body, const std::string& name) {
  return rollBundle(port, body, {name, "token-" + name});
}

BundleRow currentRow(const FakePlatformPort& port) {
  return parseBundleRow(port.model.row(bundleRowKey()).value).value_or(BundleRow{});
}

void setTable(FakePlatformPort& port, ServiceMode mode, std::uint32_t calls) {
  port.model.setBehaviour(PlatformService::Table, {mode, Duration{0}, calls, 1.0});
}

/// Drops the response to the first write after it took effect.
class DropFirstWriteResponse : public PlatformPort {
public:
  explicit DropFirstWriteResponse(FakePlatformPort& inner) : inner_(inner) {}
  ReadResult readRow(const std::string& key) override { return inner_.readRow(key); }
  PutObjectResult putObject(const std::string& key, const std::string& body) override {
    return inner_.putObject(key, body);
  }
  TransactionResult compareAndSet(const std::string& key, std::uint64_t version,
                                  const std::string& value) override {
    TransactionResult result = inner_.compareAndSet(key, version, value);
    return writes_++ == 0 ? ServiceUnavailable{true, Duration{0}} : result;
  }
  void sleepFor(Duration duration) override { inner_.sleepFor(duration); }

private:
  FakePlatformPort& inner_;
  int writes_ = 0;
};

}  // namespace

TEST_CASE("versions are accepted in sequence, and the document is stored", "[operator]") {
  FakePlatformPort port;
  CHECK(roll(port, bodyOf(5), "ana").kind == Kind::Accepted);
  CHECK(roll(port, bodyOf(5), "ana").kind == Kind::AlreadyAccepted);
  CHECK(roll(port, bodyOf(7), "ana").kind == Kind::WrongVersion);
  CHECK(roll(port, bodyOf(4), "ana").kind == Kind::WrongVersion);
  CHECK(roll(port, bodyOf(5, "other"), "ana").kind == Kind::WrongVersion);
  CHECK(roll(port, bodyOf(6), "ana").kind == Kind::Accepted);
  const BundleRow row = currentRow(port);
  const PlatformCallOutcome reply =
      port.model.call(GetObject{bundleObjectKey(row.version, row.document_sha256)}, port.now);
  const auto body = bundleBodyFromRow(row, std::get<ObjectFound>(reply.response).body);
  REQUIRE(body);
  CHECK(body->author_signature == "author");
  CHECK_FALSE(bundleBodyFromRow(row, "another document"));
}

TEST_CASE("one of two racing operators wins, and the outcome names the winner to the other", "[operator]") {
  FakePlatformPort port;
  REQUIRE(roll(port, bodyOf(1), "ana").kind == Kind::Accepted);
  class RacingPort : public FakePlatformPort {
  public:
    explicit RacingPort(FakePlatformPort& shared) : shared_(shared) {}
    ReadResult readRow(const std::string& key) override { return shared_.readRow(key); }
    PutObjectResult putObject(const std::string& key, const std::string& body) override {
      CHECK(roll(shared_, bodyOf(2, "ben's"), "ben").kind == Kind::Accepted);
      return shared_.putObject(key, body);
    }
    TransactionResult compareAndSet(const std::string& key, std::uint64_t version,
                                    const std::string& value) override {
      return shared_.compareAndSet(key, version, value);
    }

  private:
    FakePlatformPort& shared_;
  } racing(port);
  const RollOutcome outcome = roll(racing, bodyOf(2, "ana's"), "ana");
  CHECK(outcome.kind == Kind::LostRace);
  CHECK(outcome.current.rolled_by == "ben");
  CHECK(currentRow(port).rolled_by == "ben");
}

TEST_CASE("a lost response is resolved by reading the row", "[operator]") {
  FakePlatformPort port;
  DropFirstWriteResponse lossy(port);
  CHECK(rollBundle(lossy, bodyOf(1), {"ana", "token-ana"}).kind == Kind::Accepted);
  CHECK(port.model.row(bundleRowKey()).version == 1);
  setTable(port, ServiceMode::LoseResponses, 2);
  CHECK(roll(port, bodyOf(2), "ana").kind == Kind::Accepted);
}

TEST_CASE("when the platform is unavailable, the outcome states whether the row may have changed",
          "[operator]") {
  FakePlatformPort port;
  setTable(port, ServiceMode::Down, 0);
  CHECK(roll(port, bodyOf(1), "ana").kind == Kind::Unavailable);
  setTable(port, ServiceMode::Up, 0);
  port.model.setBehaviour(PlatformService::Objects, {ServiceMode::Down, Duration{0}, 0, 1.0});
  CHECK(roll(port, bodyOf(1), "ana").kind == Kind::Unavailable);
  CHECK(port.model.row(bundleRowKey()).version == 0);
  port.model.setBehaviour(PlatformService::Objects, {});

  class LossyWrites : public FakePlatformPort {
  public:
    TransactionResult compareAndSet(const std::string& key, std::uint64_t version,
                                    const std::string& value) override {
      FakePlatformPort::compareAndSet(key, version, value);
      return ServiceUnavailable{true, Duration{0}};
    }
  } lossy;
  CHECK(roll(lossy, bodyOf(1), "ana").kind == Kind::Unknown);
  CHECK(currentRow(lossy).roll_token == "token-ana");
}

TEST_CASE("a lost response followed by a later version of another operator is unknown, not a lost race",
          "[operator]") {
  FakePlatformPort port;
  int writes = 0;
  port.after_write = [&] {
    if (++writes == 1) {
      const BundleRow later{2, "digest", "a", "b", "ben", "token-ben"};
      port.model.call(TableTransaction{{}, {{bundleRowKey(), encodeBundleRow(later)}}}, port.now);
    }
  };
  DropFirstWriteResponse lossy(port);
  CHECK(rollBundle(lossy, bodyOf(1), {"ana", "token-ana"}).kind == Kind::Unknown);
}

TEST_CASE("an invalid row is not overwritten", "[operator]") {
  FakePlatformPort port;
  port.model.call(TableTransaction{{}, {{bundleRowKey(), "rubbish"}}}, port.now);
  CHECK(roll(port, bodyOf(1), "ana").kind == Kind::RowInvalid);
  CHECK(port.model.row(bundleRowKey()).value == "rubbish");
}
