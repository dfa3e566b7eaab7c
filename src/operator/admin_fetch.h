#pragma once
/// @file Asks the admin ports of several nodes the same question at once.

#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "http/message.h"

namespace crankspur {

/// What one node said.
struct AdminAnswer {
  std::string address;
  std::optional<http::Response> response;  ///< Empty when the node did not answer in time.
};

/// @param addresses "IP:port" of admin ports.
/// @param timeout for each node, without a byte of the answer.
/// @return the answers in the order of `addresses`.
std::vector<AdminAnswer> fetchFromAll(const std::vector<std::string>& addresses, const std::string& target,
                                      Duration timeout);

}  // namespace crankspur
