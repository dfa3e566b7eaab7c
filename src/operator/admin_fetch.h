#pragma once
/// @file Sends one request to the admin ports of several nodes in parallel.

#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "http/message.h"

namespace crankspur {

/// Response of one node.
struct AdminResponse {
  std::string address;
  std::optional<http::Response> response;  ///< Empty if the node did not respond in time.
};

/// @param addresses "IP:port" of admin ports.
/// @param timeout maximum time to connect to a node and to wait for each further byte of its response.
/// @return the responses in the order of `addresses`.
std::vector<AdminResponse> fetchFromAll(const std::vector<std::string>& addresses, const std::string& target,
                                        Duration timeout);

}  // namespace crankspur
