#include "gateway/load_meter.h"

#include <algorithm>

namespace crankspur::gateway {
namespace {

/// Weight of one tick: what is shown is the last second or so.
constexpr double kSmoothing = 0.2;
/// Mean lateness in seconds at which a machine counts as behind. A thread that shares a core with others, or
/// waits for the next tenth of a second of its quota, is late by less while it keeps up.
constexpr double kPressedLateness = 0.06;
/// One tick counts as late by at most this many seconds: a process that was stopped for a while is not
/// behind.
constexpr double kMostLateness = 0.5;

}  // namespace

void LoadMeter::onTick(TimePoint due, TimePoint now) {
  const double late = std::clamp(toSeconds(now - due), 0.0, kMostLateness);
  const double rate = static_cast<double>(requests_) / (toSeconds(kTick) + late);
  quiet_ticks_ = requests_ == 0 ? quiet_ticks_ + 1 : 0;
  requests_ = 0;
  rate_ += kSmoothing * (rate - rate_);
  lateness_ += kSmoothing * (late - lateness_);
}

OwnLoad LoadMeter::load() const {
  if (idle()) return {};
  return {rate_, lateness_ >= kPressedLateness};
}

}  // namespace crankspur::gateway
