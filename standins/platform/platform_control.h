#pragma once
/// @file The stand-in's POST /control for tests. The body is a JSON object with any of:
///   "service": "table|objects|weights|machines|all" together with
///     "mode": "up|slow|down|lose_answers", optional "delay_ms", "calls" (the mode holds for so many calls),
///     "probability" (share of answers lost), and/or "rate_per_second" with "burst";
///   "machine": a machine to add or replace, as the machine list gives it;
///   "remove_machine": a name; "machine_list_lag_ms": a number.

#include "http/message.h"
#include "standins/platform/platform_model.h"

namespace crankspur::standin {

/// Applies a control request, wholly or not at all.
http::Response applyPlatformControl(const http::Request& request, PlatformModel& model, TimePoint now);

}  // namespace crankspur::standin
