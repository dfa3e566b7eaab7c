#pragma once
/// @file What nodes say of themselves on GET /status, and the commands that print it.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "operator/admin_fetch.h"
#include "operator/platform_port.h"
#include "operator/report.h"

namespace crankspur {

/// The parts of a router's or sidecar's status that operators look at.
struct NodeStatus {
  std::string name;
  std::string role;
  std::string zone;
  std::string region;
  std::string version;
  std::uint64_t bundle_version = 0;
  std::uint64_t requests_in_flight = 0;
  bool stopping = false;
  std::optional<bool> platform_reachable;  ///< Routers only.
  std::string claim_mode;  ///< Who decides on claims: "table", "group_and_table" or "group"; routers only.
  std::optional<std::size_t> members;  ///< Routers only.
  std::optional<std::size_t> engines;  ///< Routers only.
};

/// @return the status, or empty when the text is none.
std::optional<NodeStatus> parseNodeStatus(std::string_view text);

/// Prints a line for each node. Unavailable when one did not answer.
ExitCode printNodeStatus(const std::vector<AdminAnswer>& answers, Report& report);

/// Prints the accepted bundle and the version that each node holds.
/// @return Ok when every node holds the accepted version, Refused when one does not yet, Unavailable when the
/// platform or a node did not answer.
ExitCode printBundleStatus(PlatformPort& platform, const std::vector<AdminAnswer>& answers, Report& report);

}  // namespace crankspur
