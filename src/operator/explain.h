#pragma once
/// @file Explains the placement of a request from the decision records of routers and the logs of gateways.

#include <string>
#include <vector>

#include "operator/admin_fetch.h"
#include "operator/report.h"

namespace crankspur {

/// @return the HTTP target of a router's or gateway's record of a request.
std::string explainTarget(const std::string& request_id);

/// Prints each record found.
/// @return Ok if at least one was found, Refused if every node responded but none has a record, Unavailable
/// if none was found and a node did not respond.
ExitCode printExplanation(const std::string& request_id, const std::vector<AdminResponse>& responses,
                          Report& report);

}  // namespace crankspur
