#include <catch2/catch.hpp>
#include <csignal>
#include <memory>

#include "integration/http_call.h"
#include "integration/process.h"

using namespace crankspur::testing;

namespace {

std::string replaceOnce(std::string text, const std::string& from, const std::string& to) {
  const std::size_t position = text.find(from);
  REQUIRE(position != std::string::npos);
  return text.replace(position, from.size(), to);
}

std::string firstLine(const std::string& text) {
  return text.substr(0, text.find('\n'));
}

/// A platform and the signing keys of two operators, an author and an approver.
class OperatorSite {
public:
  OperatorSite() : platform_("standin_platform", {"--machine_list_lag_ms=0"}, folder_ + "/platform.log") {
    REQUIRE(run({"keygen", "--out=" + folder_ + "/author"}) == 0);
    author_key_ = firstLine(output_);
    REQUIRE(run({"keygen", "--out=" + folder_ + "/approver"}) == 0);
    approver_key_ = firstLine(output_);
    platform_address_ = "127.0.0.1:" + std::to_string(platform_.port("listening"));
  }

  int run(const std::vector<std::string>& arguments) {
    output_.clear();
    return runProgram("crankspurctl", arguments, output_);
  }

  /// Writes, signs and approves a bundle document.
  /// @return its path.
  std::string prepare(int version, const std::string& comment) {
    const std::string path = folder_ + "/" + comment + std::to_string(version) + ".toml";
    const std::string example = readText(CRANKSPUR_SOURCE_DIR "/examples/parts_desk/bundle.toml");
    const std::string line = "version = " + std::to_string(version) + "  # " + comment + "\n";
    writeText(path, replaceOnce(example, "version = 1\n", line));
    REQUIRE(run({"bundle", "sign", path, "--key=" + folder_ + "/author.key"}) == 0);
    REQUIRE(run({"bundle", "approve", path, "--key=" + folder_ + "/approver.key"}) == 0);
    return path;
  }

  int roll(const std::string& path) {
    return run({"bundle", "roll", path, "--platform=" + platform_address_, "--author_keys=" + author_key_,
                "--approver_keys=" + approver_key_});
  }

  int status(const std::string& nodes, const std::string& wait_seconds) {
    return run({"bundle", "status", "--platform=" + platform_address_, "--routers=" + nodes,
                "--wait_s=" + wait_seconds});
  }

  void control(const std::string& body) { REQUIRE(post(platform_address_, "/control", body).status == 200); }

  /// @return the settings that routers and sidecars have in common.
  std::string commonSettings(const std::string& name) const {
    return "name = \"" + name + "\"\nzone = \"z\"\nregion = \"r\"\nlisten = \"127.0.0.1:0\"\n" +
           "admin = \"127.0.0.1:0\"\nplatform = \"" + platform_address_ + "\"\n";
  }

  std::string trustedKeys() const {
    return "[trusted_keys]\nauthors = [\"" + author_key_ + "\"]\napprovers = [\"" + approver_key_ + "\"]\n";
  }

  std::unique_ptr<Process> start(const std::string& program, const std::string& name,
                                 const std::string& extra_settings) {
    const std::string path = folder_ + "/" + name + "_settings.toml";
    writeText(path, commonSettings(name) + extra_settings + trustedKeys());
    return std::make_unique<Process>(program, std::vector<std::string>{"--settings=" + path},
                                     folder_ + "/" + name + ".log");
  }

  const std::string& output() const { return output_; }

private:
  std::string folder_ = makeScratchFolder();
  Process platform_;
  std::string platform_address_;
  std::string author_key_;
  std::string approver_key_;
  std::string output_;
};

std::string adminOf(Process& process) {
  return "127.0.0.1:" + std::to_string(process.port("admin"));
}

std::string peersSetting(Process& process, const std::string& key) {
  return key + " = [\"127.0.0.1:" + std::to_string(process.port("listening")) + "\"]\n";
}

}  // namespace

TEST_CASE("a rolled bundle and its successor take effect on every node", "[operator]") {
  OperatorSite site;
  REQUIRE(site.roll(site.prepare(1, "first")) == 0);
  const auto router1 = site.start("crankspur_router", "r1", "");
  const auto router2 = site.start("crankspur_router", "r2", peersSetting(*router1, "peers"));
  const auto sidecar = site.start("crankspur_sidecar", "s1", peersSetting(*router2, "routers"));
  const std::string nodes = adminOf(*router1) + "," + adminOf(*router2) + "," + adminOf(*sidecar);
  CHECK(site.status(nodes, "30") == 0);
  REQUIRE(site.roll(site.prepare(2, "second")) == 0);
  CHECK(site.status(nodes, "30") == 0);
  INFO(site.output());
  CHECK(site.output().find("accepted: version 2") != std::string::npos);
  CHECK(site.run({"status", "--nodes=" + nodes}) == 0);
  CHECK(site.run({"explain", "unknown", "--routers=" + adminOf(*router1)}) == 1);
}

TEST_CASE("a router that starts while the platform is down receives the bundle from its peers",
          "[operator]") {
  OperatorSite site;
  REQUIRE(site.roll(site.prepare(1, "first")) == 0);
  const auto router1 = site.start("crankspur_router", "r1", "");
  CHECK(site.status(adminOf(*router1), "30") == 0);
  site.control(R"({"service":"all","mode":"down"})");
  const auto router2 = site.start("crankspur_router", "r2", peersSetting(*router1, "peers"));
  const auto healthy = [&] { return get(adminOf(*router2), "/healthz").status == 200; };
  CHECK(eventually(healthy));
  CHECK(site.status(adminOf(*router2), "0") == 3);
  CHECK(site.roll(site.prepare(2, "second")) == 3);
}

TEST_CASE("lost answers, a lost race and a wrong version end as documented", "[operator]") {
  OperatorSite site;
  const std::string first = site.prepare(1, "ana");
  site.control(R"({"service":"table","mode":"lose_answers","calls":3})");
  CHECK(site.roll(first) == 0);
  CHECK(site.roll(first) == 0);
  CHECK(site.roll(site.prepare(1, "ben")) == 1);
  CHECK(site.roll(site.prepare(3, "ben")) == 1);
  CHECK(site.roll(site.prepare(2, "ben")) == 0);
  CHECK(site.roll("/nonexistent.toml") == 2);
}
