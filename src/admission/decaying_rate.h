#pragma once
/// @file A rate measured over the recent past, with exponentially decaying weights.

#include <cmath>

#include "base/time.h"

namespace crankspur {

/// Exponentially decaying sum that is read as a rate.
class DecayingRate {
public:
  /// @param decay_time time after which the weight of an amount has decayed to 1/e.
  explicit DecayingRate(Duration decay_time) : decay_seconds_(toSeconds(decay_time)) {}

  void add(double amount, TimePoint now) {
    decay(now);
    sum_ += amount;
  }
  /// @return amount per second.
  double perSecond(TimePoint now) {
    decay(now);
    return sum_ / decay_seconds_;
  }

private:
  void decay(TimePoint now) {
    if (now > updated_at_) {
      sum_ *= std::exp(-toSeconds(now - updated_at_) / decay_seconds_);
      updated_at_ = now;
    }
  }

  double decay_seconds_;
  double sum_ = 0;
  TimePoint updated_at_{};
};

}  // namespace crankspur
