#pragma once
/// @file Parses the GET /status responses of nodes, and the commands that print them.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "operator/admin_fetch.h"
#include "operator/platform_port.h"
#include "operator/report.h"

namespace crankspur {

/// The parts of a router's or sidecar's status that are printed for operators.
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
  std::string claim_mode;  ///< Where claims are decided: "table", "group_and_table" or "group"; routers only.
  std::optional<std::size_t> members;  ///< Routers only.
  std::optional<std::size_t> engines;  ///< Routers only.
};

/// @return the status, or nullopt if the text is not a valid status.
std::optional<NodeStatus> parseNodeStatus(std::string_view text);

/// Prints a line for each node.
/// @return Unavailable if a node did not respond.
ExitCode printNodeStatus(const std::vector<AdminResponse>& responses, Report& report);

/// Prints the accepted bundle version and the version that each node holds.
/// @return Ok if every node holds the accepted version, Refused if a node does not hold it yet, Unavailable
/// if the platform or a node did not respond.
ExitCode printBundleStatus(PlatformPort& platform, const std::vector<AdminResponse>& responses,
                           Report& report);

}  // namespace crankspur
