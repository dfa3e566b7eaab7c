/// @file Command-line flags that routers and sidecars have in common.

#include <catch2/catch.hpp>

#include "integration/process.h"

using namespace crankspur::testing;

namespace {

/// @return flags with which either program starts. The platform does not have to be reachable.
std::vector<std::string> validFlags() {
  return {"--name=n",
          "--zone=z",
          "--region=r",
          "--listen=127.0.0.1:0",
          "--admin=127.0.0.1:0",
          "--platform=127.0.0.1:1",
          "--author_keys=a",
          "--approver_keys=b"};
}

}  // namespace

TEST_CASE("a router or sidecar exits with code 2 on an invalid flag", "[node]") {
  const std::string program = GENERATE("crankspur_router", "crankspur_sidecar");
  const std::string flag =
      GENERATE("--log_format=xml", "--admin=nowhere", "--platform=nowhere", "--listen=127.0.0.1");
  std::vector<std::string> flags = validFlags();
  flags.push_back(flag);
  INFO(program << " " << flag);
  Process process(program, flags, makeScratchFolder() + "/log");
  CHECK(process.wait(std::chrono::seconds(20)) == 2);
}

TEST_CASE("--help of each program lists its flags", "[node]") {
  const std::string program =
      GENERATE("crankspur_router", "crankspur_sidecar", "standin_engine", "standin_platform",
               "standin_kv_store", "standin_app_runner", "fault_proxy");
  std::string output;
  runProgram(program, {"--help"}, output);
  INFO(program << ": " << output);
  CHECK(output.find("--listen") != std::string::npos);
}
