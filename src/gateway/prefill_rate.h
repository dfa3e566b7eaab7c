#pragma once
/// @file Estimates the prefill rate of each pool's engines from the time to the first byte of responses,
/// since engines do not report it.

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <string>

#include "base/time.h"

namespace crankspur::gateway {

/// Follows the upper end of the observed rates, since unobserved queue delays can only make an engine look
/// slower. Not thread-safe.
class PrefillRates {
public:
  /// @param tokens uncached prompt tokens, which needed a prefill.
  /// @param taken from dispatch to the first byte.
  void observe(const std::string& pool, std::uint32_t tokens, Duration taken);
  /// @return tokens per second.
  double rate(const std::string& pool) const;

private:
  absl::flat_hash_map<std::string, double> rates_;
};

}  // namespace crankspur::gateway
