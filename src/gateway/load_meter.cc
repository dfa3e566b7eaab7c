#include "gateway/load_meter.h"

#include <algorithm>

namespace crankspur::gateway {
namespace {

/// Weight of one tick: the load covers about the last second.
constexpr double kSmoothing = 0.2;
/// Mean lateness in seconds from which a machine counts as overloaded. A thread that keeps up is late by
/// less, also if it shares a core or waits for the next 0.1 s period of its CPU quota.
constexpr double kOverloadLateness = 0.06;
/// Limit of the lateness of one tick in seconds, so that a process that was suspended for a while does not
/// count as overloaded.
constexpr double kMaxTickLateness = 0.5;

}  // namespace

void LoadMeter::onTick(TimePoint due, TimePoint now) {
  const double late = std::clamp(toSeconds(now - due), 0.0, kMaxTickLateness);
  const double rate = static_cast<double>(requests_) / (toSeconds(kTick) + late);
  idle_ticks_ = requests_ == 0 ? idle_ticks_ + 1 : 0;
  requests_ = 0;
  rate_ += kSmoothing * (rate - rate_);
  lateness_ += kSmoothing * (late - lateness_);
}

OwnLoad LoadMeter::load() const {
  if (idle()) return {};
  return {rate_, lateness_ >= kOverloadLateness};
}

}  // namespace crankspur::gateway
