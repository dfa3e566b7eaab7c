#include "operator_fixture.h"

using namespace crankspur;
using namespace crankspur::standin;
using Kind = RollOutcome::Kind;

namespace {

BundleBody bodyOf(std::uint64_t version, const std::string& document = "document") {
  return {version, document, "author", "approver"};
}

RollOutcome roll(ModelPort& port, const BundleBody& body, const std::string& name) {
  return rollBundle(port, body, {name, "token-" + name});
}

BundleRow present(const ModelPort& port) {
  return parseBundleRow(port.model.row(bundleRowKey()).value).value_or(BundleRow{});
}

void setTable(ModelPort& port, ServiceMode mode, std::uint32_t calls) {
  port.model.setBehaviour(PlatformService::Table, {mode, Duration{0}, calls, 1.0});
}

/// Loses the response to the first write after its effect.
class LoseFirstWrite : public PlatformPort {
public:
  explicit LoseFirstWrite(ModelPort& inner) : inner_(inner) {}
  ReadResult readRow(const std::string& key) override { return inner_.readRow(key); }
  PutObjectResult putObject(const std::string& key, const std::string& body) override {
    return inner_.putObject(key, body);
  }
  TransactionResult compareAndSet(const std::string& key, std::uint64_t version,
                                  const std::string& value) override {
    TransactionResult result = inner_.compareAndSet(key, version, value);
    return first_++ == 0 ? ServiceUnavailable{true, Duration{0}} : result;
  }
  void pause(Duration duration) override { inner_.pause(duration); }

private:
  ModelPort& inner_;
  int first_ = 0;
};

}  // namespace

TEST_CASE("versions are accepted one after the other, and the document is stored", "[operator]") {
  ModelPort port;
  CHECK(roll(port, bodyOf(5), "ana").kind == Kind::Accepted);
  CHECK(roll(port, bodyOf(5), "ana").kind == Kind::AlreadyAccepted);
  CHECK(roll(port, bodyOf(7), "ana").kind == Kind::WrongVersion);
  CHECK(roll(port, bodyOf(4), "ana").kind == Kind::WrongVersion);
  CHECK(roll(port, bodyOf(5, "other"), "ana").kind == Kind::WrongVersion);
  CHECK(roll(port, bodyOf(6), "ana").kind == Kind::Accepted);
  const BundleRow row = present(port);
  const PlatformCallOutcome reply =
      port.model.call(GetObject{bundleObjectKey(row.version, row.document_sha256)}, port.now);
  const auto body = bundleBodyFromRow(row, std::get<ObjectFound>(reply.response).body);
  REQUIRE(body);
  CHECK(body->author_signature == "author");
  CHECK_FALSE(bundleBodyFromRow(row, "another document"));
}

TEST_CASE("of two racing operators one wins and the other is told who", "[operator]") {
  ModelPort port;
  REQUIRE(roll(port, bodyOf(1), "ana").kind == Kind::Accepted);
  class RacingPort : public ModelPort {
  public:
    explicit RacingPort(ModelPort& shared) : shared_(shared) {}
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
    ModelPort& shared_;
  } racing(port);
  const RollOutcome outcome = roll(racing, bodyOf(2, "ana's"), "ana");
  CHECK(outcome.kind == Kind::LostRace);
  CHECK(outcome.present.rolled_by == "ben");
  CHECK(present(port).rolled_by == "ben");
}

TEST_CASE("a lost answer is resolved by what the row says", "[operator]") {
  ModelPort port;
  LoseFirstWrite lossy(port);
  CHECK(rollBundle(lossy, bodyOf(1), {"ana", "token-ana"}).kind == Kind::Accepted);
  CHECK(port.model.row(bundleRowKey()).version == 1);
  setTable(port, ServiceMode::LoseResponses, 2);
  CHECK(roll(port, bodyOf(2), "ana").kind == Kind::Accepted);
}

TEST_CASE("when the platform stays away, the outcome says whether anything may have changed", "[operator]") {
  ModelPort port;
  setTable(port, ServiceMode::Down, 0);
  CHECK(roll(port, bodyOf(1), "ana").kind == Kind::Unavailable);
  setTable(port, ServiceMode::Up, 0);
  port.model.setBehaviour(PlatformService::Objects, {ServiceMode::Down, Duration{0}, 0, 1.0});
  CHECK(roll(port, bodyOf(1), "ana").kind == Kind::Unavailable);
  CHECK(port.model.row(bundleRowKey()).version == 0);
  port.model.setBehaviour(PlatformService::Objects, {});

  class LossyWrites : public ModelPort {
  public:
    TransactionResult compareAndSet(const std::string& key, std::uint64_t version,
                                    const std::string& value) override {
      ModelPort::compareAndSet(key, version, value);
      return ServiceUnavailable{true, Duration{0}};
    }
  } lossy;
  CHECK(roll(lossy, bodyOf(1), "ana").kind == Kind::Unknown);
  CHECK(present(lossy).roll_token == "token-ana");
}

TEST_CASE("a lost answer under another's later version is unknown, not a lost race", "[operator]") {
  ModelPort port;
  int writes = 0;
  port.after_write = [&] {
    if (++writes == 1) {
      const BundleRow later{2, "digest", "a", "b", "ben", "token-ben"};
      port.model.call(TableTransaction{{}, {{bundleRowKey(), encodeBundleRow(later)}}}, port.now);
    }
  };
  LoseFirstWrite lossy(port);
  CHECK(rollBundle(lossy, bodyOf(1), {"ana", "token-ana"}).kind == Kind::Unknown);
}

TEST_CASE("a damaged row is not overwritten", "[operator]") {
  ModelPort port;
  port.model.call(TableTransaction{{}, {{bundleRowKey(), "rubbish"}}}, port.now);
  CHECK(roll(port, bodyOf(1), "ana").kind == Kind::RowDamaged);
  CHECK(port.model.row(bundleRowKey()).value == "rubbish");
}
