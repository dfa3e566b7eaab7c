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

struct Signed {
  Signed() {
    REQUIRE(writeFile(document, exampleText()).empty());
    REQUIRE(generateKeys(folder.file("author"), report) == ExitCode::Ok);
    REQUIRE(generateKeys(folder.file("approver"), report) == ExitCode::Ok);
    keys = {{*readLine(folder.file("author.pub"))}, {*readLine(folder.file("approver.pub"))}};
  }
  ExitCode sign() { return signBundleFile(document, folder.file("author.key"), report); }
  ExitCode approve(const std::string& key) {
    return approveBundleFile(document, folder.file(key), keys, report);
  }
  ExitCode roll() { return rollBundleFile(document, keys, "ana", port, report); }

  TemporaryFolder folder;
  std::string document = folder.file("bundle.toml");
  TrustedKeys keys;
  ModelPort port;
  Report report;
};

AdminAnswer answerOf(const std::string& body, int status = 200) {
  return {"127.0.0.1:9", http::jsonResponse(status, body)};
}

}  // namespace

TEST_CASE("a bundle goes from the author over the approver into the row", "[operator]") {
  Signed operators;
  CHECK(operators.roll() == ExitCode::Refused);
  CHECK(operators.approve("approver.key") == ExitCode::Refused);
  CHECK(operators.sign() == ExitCode::Ok);
  CHECK(operators.approve("author.key") == ExitCode::Refused);
  CHECK(operators.approve("approver.key") == ExitCode::Ok);
  CHECK(operators.roll() == ExitCode::Ok);
  CHECK(operators.port.model.row(bundleRowKey()).version == 1);
}

TEST_CASE("a document changed after signing, and a stranger's signature, are refused", "[operator]") {
  Signed operators;
  REQUIRE(generateKeys(operators.folder.file("stranger"), operators.report) == ExitCode::Ok);
  REQUIRE(signBundleFile(operators.document, operators.folder.file("stranger.key"), operators.report) ==
          ExitCode::Ok);
  CHECK(operators.approve("approver.key") == ExitCode::Refused);
  REQUIRE(operators.sign() == ExitCode::Ok);
  REQUIRE(operators.approve("approver.key") == ExitCode::Ok);
  REQUIRE(writeFile(operators.document, exampleText() + "# changed\n").empty());
  CHECK(operators.roll() == ExitCode::Refused);
  CHECK(operators.approve("approver.key") == ExitCode::Refused);
  CHECK(operators.port.model.row(bundleRowKey()).version == 0);
}

TEST_CASE("private keys are for their owner only and never overwritten", "[operator]") {
  Signed operators;
  const std::filesystem::path key = operators.folder.file("author.key");
  CHECK((std::filesystem::status(key).permissions() & std::filesystem::perms(077)) ==
        std::filesystem::perms::none);
  CHECK(generateKeys(operators.folder.file("author"), operators.report) == ExitCode::Usage);
  CHECK(operators.keys.authors[0] == readLine(operators.folder.file("author.pub")));
}

TEST_CASE("a difference is told entry by entry, and text alone is none", "[operator]") {
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

TEST_CASE("bundle status tells who holds the accepted version", "[operator]") {
  ModelPort port;
  REQUIRE(rollBundle(port, {1, "document", "a", "b"}, {"ana", "t"}).kind == RollOutcome::Kind::Accepted);
  const AdminAnswer holds = answerOf(R"({"name":"r1","role":"router","bundle_version":1,"members":[1,2]})");
  const AdminAnswer behind = answerOf(R"({"name":"s1","role":"sidecar","bundle_version":0})");
  Report report;
  CHECK(printBundleStatus(port, {holds}, report) == ExitCode::Ok);
  CHECK(printBundleStatus(port, {holds, behind}, report) == ExitCode::Refused);
  CHECK(report.output.find("s1    sidecar        0       behind") != std::string::npos);
  CHECK(printBundleStatus(port, {holds, {"127.0.0.1:9", std::nullopt}}, report) == ExitCode::Unavailable);
  CHECK(printBundleStatus(port, {answerOf("rubbish")}, report) == ExitCode::Unavailable);
  CHECK(printNodeStatus({holds, answerOf("{}", 500)}, report) == ExitCode::Unavailable);
}

TEST_CASE("an explanation prints what records hold and survives what they lack", "[operator]") {
  Report report;
  const AdminAnswer unknown = answerOf(R"({"error":{"code":"unknown_request"}})", 404);
  const AdminAnswer record = answerOf(
      R"({"request_id":"q1","attempt":2,"router":"r1","engine":"e7","candidates":[{"engine":"e7","cost":1.5}]})");
  CHECK(printExplanation("q1", {unknown, record}, report) == ExitCode::Ok);
  CHECK(report.output.find("request q1 attempt 2 at router r1") != std::string::npos);
  CHECK(report.output.find("chosen: engine e7 (incarnation ?), weights ?") != std::string::npos);
  const AdminAnswer exact =
      answerOf(R"({"request_id":"q1","engine":"e7","engine_incarnation":6233178731342956})");
  CHECK(printExplanation("q1", {exact}, report) == ExitCode::Ok);
  CHECK(report.output.find("incarnation 6233178731342956") != std::string::npos);
  const AdminAnswer gateway = answerOf(
      R"({"request_id":"q1","gateway":"g1","lines":["event=1220 request_id=q1","event=1225 request_id=q1"]})");
  CHECK(printExplanation("q1", {unknown, gateway}, report) == ExitCode::Ok);
  CHECK(report.output.find("request q1 at gateway g1\n  event=1220 request_id=q1\n") != std::string::npos);
  CHECK(printExplanation("q1", {unknown}, report) == ExitCode::Refused);
  CHECK(printExplanation("q1", {unknown, {"127.0.0.1:9", std::nullopt}}, report) == ExitCode::Unavailable);
  CHECK(explainTarget("a b&c") == "/explain?request_id=a%20b%26c");
}

TEST_CASE("wrong command lines are refused as such", "[operator]") {
  const std::vector<std::vector<std::string>> wrong = {{},
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
  for (const std::vector<std::string>& words : wrong) {
    OperatorCommand command;
    command.words = words;
    Report report;
    CHECK(runOperatorCommand(command, report) == ExitCode::Usage);
    CHECK(report.errors.find("see crankspurctl --help") != std::string::npos);
  }
  OperatorCommand bad_address;
  bad_address.words = {"status"};
  bad_address.nodes = {"127.0.0.1:1", "127.0.0.1:"};
  Report address_report;
  CHECK(runOperatorCommand(bad_address, address_report) == ExitCode::Usage);
  CHECK(address_report.errors.find("'127.0.0.1:' is no IP:port") != std::string::npos);
  OperatorCommand missing_file;
  missing_file.words = {"bundle", "check", "/nonexistent/bundle.toml"};
  Report report;
  CHECK(runOperatorCommand(missing_file, report) == ExitCode::Usage);
}
