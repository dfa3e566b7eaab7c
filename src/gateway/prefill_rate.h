#pragma once
/// @file How fast the engines of each pool read prompts, learnt from the first bytes of answers: no engine
/// states it.

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <string>

#include "base/time.h"

namespace crankspur::gateway {

/// Follows the upper end of what is observed, since waiting in queues that are not seen only ever makes an
/// engine look slower. Not thread-safe.
class PrefillRates {
public:
  /// @param tokens prompt tokens that the engine had to read.
  /// @param taken from dispatch to the first byte.
  void observe(const std::string& pool, std::uint32_t tokens, Duration taken);
  /// @return tokens per second.
  double rate(const std::string& pool) const;

private:
  absl::flat_hash_map<std::string, double> rates_;
};

}  // namespace crankspur::gateway
