#include "operator/bundle_diff.h"
#include "operator/command.h"
#include "operator/explain.h"
#include "operator/node_status.h"
#include "operator_fixture.h"

using namespace crankspur;

namespace {

std::string exampleText() {
  return readFile(std::string(CRANKSPUR_SOURCE_DIR) + "/examples/tallow_creek/bundle.toml").value();
}

/// A bundle document, two key pairs and a platform to roll it to.
struct SigningFixture {
  SigningFixture() {
    REQUIRE(writeFile(document, exampleText()).empty());
    REQUIRE(generateKeys(directory.file("author"), report) == ExitCode::Ok);
    REQUIRE(generateKeys(directory.file("approver"), report) == ExitCode::Ok);
    keys = {{*readLine(directory.file("author.pub"))}, {*readLine(directory.file("approver.pub"))}};
  }
  ExitCode sign() { return signBundleFile(document, directory.file("author.key"), report); }
  ExitCode approve(const std::string& key) {
    return approveBundleFile(document, directory.file(key), keys, report);
  }
  ExitCode roll() { return rollBundleFile(document, keys, "ana", port, report); }

  TemporaryDirectory directory;
  std::string document = directory.file("bundle.toml");
  TrustedKeys keys;
  FakePlatformPort port;
  Report report;
};

AdminResponse responseOf(const std::string& body, int status = 200) {
  return {"127.0.0.1:9", http::jsonResponse(status, body)};
}

}  // namespace

TEST_CASE("a bundle is signed, approved and written to the row", "[operator]") {
  SigningFixture fixture;
  CHECK(fixture.roll() == ExitCode::Refused);
  CHECK(fixture.approve("approver.key") == ExitCode::Refused);
  CHECK(fixture.sign() == ExitCode::Ok);
  CHECK(fixture.approve("author.key") == ExitCode::Refused);
  CHECK(fixture.approve("approver.key") == ExitCode::Ok);
  CHECK(fixture.roll() == ExitCode::Ok);
  CHECK(fixture.port.model.row(bundleRowKey()).version == 1);
}

TEST_CASE("a document changed after signing and a signature by an untrusted key are refused", "[operator]") {
  SigningFixture fixture;
  REQUIRE(generateKeys(fixture.directory.file("stranger"), fixture.report) == ExitCode::Ok);
  REQUIRE(signBundleFile(fixture.document, fixture.directory.file("stranger.key"), fixture.report) ==
          ExitCode::Ok);
  CHECK(fixture.approve("approver.key") == ExitCode::Refused);
  REQUIRE(fixture.sign() == ExitCode::Ok);
  REQUIRE(fixture.approve("approver.key") == ExitCode::Ok);
  REQUIRE(writeFile(fixture.document, exampleText() + "# changed\n").empty());
  CHECK(fixture.roll() == ExitCode::Refused);
  CHECK(fixture.approve("approver.key") == ExitCode::Refused);
  CHECK(fixture.port.model.row(bundleRowKey()).version == 0);
}

TEST_CASE("private keys are readable by their owner only and are never overwritten", "[operator]") {
  SigningFixture fixture;
  const std::filesystem::path key = fixture.directory.file("author.key");
  CHECK((std::filesystem::status(key).permissions() & std::filesystem::perms(077)) ==
        std::filesystem::perms::none);
  CHECK(generateKeys(fixture.directory.file("author"), fixture.report) == ExitCode::Usage);
  CHECK(fixture.keys.authors[0] == readLine(fixture.directory.file("author.pub")));
}

TEST_CASE("differences are listed by entry, and a change of text alone is no difference", "[operator]") {
  std::vector<SettingsProblem> problems;
  const auto before = parseBundle(exampleText(), "a", problems);
  REQUIRE(before != nullptr);
  CHECK(diffBundles(*before, *parseBundle("# other text\n" + exampleText(), "a", problems)).empty());
  Bundle after = *before;
  after.tenants[0].weight = 9.0;
  after.models.pop_back();
  after.operations.push_back({"cancel_site", {"bookings"}, false, std::chrono::seconds(1)});
  after.knobs.max_attempts = 7;
  const std::vector<std::string> expected = {"~ knobs max_attempts: 3 -> 7", "- model history-summary",
                                             "~ tenant public-portal weight: 5 -> 9",
                                             "+ operation cancel_site"};
  CHECK(diffBundles(*before, after) == expected);
}

TEST_CASE("bundle status shows which nodes hold the accepted version", "[operator]") {
  FakePlatformPort port;
  REQUIRE(rollBundle(port, {1, "document", "a", "b"}, {"ana", "t"}).kind == RollOutcome::Kind::Accepted);
  const AdminResponse holds =
      responseOf(R"({"name":"r1","role":"router","bundle_version":1,"members":[1,2]})");
  const AdminResponse behind = responseOf(R"({"name":"s1","role":"sidecar","bundle_version":0})");
  Report report;
  CHECK(printBundleStatus(port, {holds}, report) == ExitCode::Ok);
  CHECK(printBundleStatus(port, {holds, behind}, report) == ExitCode::Refused);
  CHECK(report.output.find("s1    sidecar        0       behind") != std::string::npos);
  CHECK(printBundleStatus(port, {holds, {"127.0.0.1:9", std::nullopt}}, report) == ExitCode::Unavailable);
  CHECK(printBundleStatus(port, {responseOf("rubbish")}, report) == ExitCode::Unavailable);
  CHECK(printNodeStatus({holds, responseOf("{}", 500)}, report) == ExitCode::Unavailable);
}

TEST_CASE("an explanation prints the fields of records and tolerates missing ones", "[operator]") {
  Report report;
  const AdminResponse unknown = responseOf(R"({"error":{"code":"unknown_request"}})", 404);
  const AdminResponse record = responseOf(
      R"({"request_id":"q1","attempt":2,"router":"r1","engine":"e7","candidates":[{"engine":"e7","cost":1.5}]})");
  CHECK(printExplanation("q1", {unknown, record}, report) == ExitCode::Ok);
  CHECK(report.output.find("request q1 attempt 2 at router r1") != std::string::npos);
  CHECK(report.output.find("chosen: engine e7 (incarnation ?), weights ?") != std::string::npos);
  const AdminResponse exact =
      responseOf(R"({"request_id":"q1","engine":"e7","engine_incarnation":6233178731342956})");
  CHECK(printExplanation("q1", {exact}, report) == ExitCode::Ok);
  CHECK(report.output.find("incarnation 6233178731342956") != std::string::npos);
  const AdminResponse gateway = responseOf(
      R"({"request_id":"q1","gateway":"g1","lines":["event=1220 request_id=q1","event=1225 request_id=q1"]})");
  CHECK(printExplanation("q1", {unknown, gateway}, report) == ExitCode::Ok);
  CHECK(report.output.find("request q1 at gateway g1\n  event=1220 request_id=q1\n") != std::string::npos);
  CHECK(printExplanation("q1", {unknown}, report) == ExitCode::Refused);
  CHECK(printExplanation("q1", {unknown, {"127.0.0.1:9", std::nullopt}}, report) == ExitCode::Unavailable);
  CHECK(explainTarget("a b&c") == "/explain?request_id=a%20b%26c");
}

TEST_CASE("invalid command lines are refused with a usage error", "[operator]") {
  const std::vector<std::vector<std::string>> invalid_lines = {{},
                                                               {"bundle"},
                                                               {"bundle", "rol"},
                                                               {"bundle", "check"},
                                                               {"bundle", "check", "a", "b"},
                                                               {"keygen"},
                                                               {"bundle", "sign", "a"},
                                                               {"bundle", "roll", "a"},
                                                               {"bundle", "status"},
                                                               {"status"},
                                                               {"explain", "q"}};
  for (const std::vector<std::string>& positional : invalid_lines) {
    OperatorCommand command;
    command.positional = positional;
    Report report;
    CHECK(runOperatorCommand(command, report) == ExitCode::Usage);
    CHECK(report.errors.find("see crankspurctl --help") != std::string::npos);
  }
  OperatorCommand bad_address;
  bad_address.positional = {"status"};
  bad_address.nodes = {"127.0.0.1:1", "127.0.0.1:"};
  Report address_report;
  CHECK(runOperatorCommand(bad_address, address_report) == ExitCode::Usage);
  CHECK(address_report.errors.find("'127.0.0.1:' is no IP:port") != std::string::npos);
  OperatorCommand missing_file;
  missing_file.positional = {"bundle", "check", "/nonexistent/bundle.toml"};
  Report report;
  CHECK(runOperatorCommand(missing_file, report) == ExitCode::Usage);
}
