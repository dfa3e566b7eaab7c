#pragma once
/// @file Prints why a request ran where it did, from the routers' decision records.

#include <string>
#include <vector>

#include "operator/admin_fetch.h"
#include "operator/report.h"

namespace crankspur {

/// @return the target that asks a router for its record of a request.
std::string explainTarget(const std::string& request_id);

/// Prints each record found.
/// @return Ok when one was found, Refused when every router answered and none keeps it, Unavailable when none
/// was found and a router did not answer.
ExitCode printExplanation(const std::string& request_id, const std::vector<AdminAnswer>& answers,
                          Report& report);

}  // namespace crankspur
