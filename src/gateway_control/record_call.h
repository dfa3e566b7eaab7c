#pragma once
/// @file Calls that the records of gateways in the platform's store request from their owner.

#include <cstdint>
#include <string>

#include "base/time.h"

namespace crankspur::gateway {

/// A call to the store; a record has at most one at a time.
struct RecordCall {
  enum class Kind {
    none,
    read,   ///< The response goes to the record's onRead().
    write,  ///< The response goes to the record's onWritten().
  };
  Kind kind = Kind::none;
  std::string text;                    ///< To be written.
  std::uint64_t expected_version = 0;  ///< The row version that the write may replace.
};

/// Delay before a call to the store is repeated.
inline constexpr Duration kRecordRetryDelay = std::chrono::milliseconds(700);
/// Callers wait for a record at most this long after the start: a reachable store responds in milliseconds,
/// and a gateway without a configuration serves no requests anyway.
inline constexpr Duration kMaxRecordLoadTime = std::chrono::seconds(1);

}  // namespace crankspur::gateway
