#pragma once
/// @file A rate measured over the recent past, older amounts weighing less and less.

#include <cmath>

#include "base/time.h"

namespace crankspur {

/// Exponentially decaying sum, read as a rate.
class DecayingRate {
public:
  /// @param memory time after which an amount weighs 1/e of what it did.
  explicit DecayingRate(Duration memory) : memory_seconds_(toSeconds(memory)) {}

  void add(double amount, TimePoint now) {
    decay(now);
    sum_ += amount;
  }
  /// @return amount per second.
  double perSecond(TimePoint now) {
    decay(now);
    return sum_ / memory_seconds_;
  }

private:
  void decay(TimePoint now) {
    if (now > updated_at_) {
      sum_ *= std::exp(-toSeconds(now - updated_at_) / memory_seconds_);
      updated_at_ = now;
    }
  }

  double memory_seconds_;
  double sum_ = 0;
  TimePoint updated_at_{};
};

}  // namespace crankspur
