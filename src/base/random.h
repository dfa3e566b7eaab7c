#pragma once
/// @file Seeded random numbers. Unlike those of the standard library, Boost.Random's distributions return the
/// same values on every platform, so that a simulation seed reproduces the same run everywhere.

#include <boost/random/bernoulli_distribution.hpp>
#include <boost/random/exponential_distribution.hpp>
#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <boost/random/uniform_real_distribution.hpp>
#include <cstdint>

namespace crankspur {

/// A seeded generator. Not thread-safe: each thread and each decision object has its own.
class RandomSource {
public:
  explicit RandomSource(std::uint64_t seed) : engine_(seed) {}

  /// @return a uniform integer in [low, high].
  std::uint64_t uniform(std::uint64_t low, std::uint64_t high) {
    return boost::random::uniform_int_distribution<std::uint64_t>(low, high)(engine_);
  }
  /// @return a uniform real in [0, 1).
  double unit() { return boost::random::uniform_real_distribution<double>(0.0, 1.0)(engine_); }
  /// @return true with the given probability.
  bool chance(double probability) {
    return boost::random::bernoulli_distribution<double>(probability)(engine_);
  }
  /// @return an exponentially distributed real with the given mean.
  double exponential(double mean) {
    return boost::random::exponential_distribution<double>(1.0 / mean)(engine_);
  }
  /// @return 64 random bits.
  std::uint64_t bits() { return engine_(); }

private:
  boost::random::mt19937_64 engine_;
};

}  // namespace crankspur
