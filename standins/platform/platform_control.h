#pragma once
/// @file POST /control of the platform stand-in, for tests. The body is a JSON object with any of:
///   "service": "table|objects|weights|machines|all" together with
///     "mode": "up|slow|down|lose_answers", optional "delay_ms", "calls" (number of calls that the mode
///     applies to), "probability" (fraction of responses lost), and/or "rate_per_second" with "burst";
///   "machine": a machine to add or replace, in the form of the machine list;
///   "remove_machine": a name; "machine_list_lag_ms": a number.

#include "http/message.h"
#include "standins/platform/platform_model.h"

namespace crankspur::standin {

/// Applies a control request atomically: an invalid request changes nothing.
http::Response applyPlatformControl(const http::Request& request, PlatformModel& model, TimePoint now);

}  // namespace crankspur::standin
