#pragma once
/// @file Back ends that state in their responses that they fall over when they reject too many requests in a
/// second for want of room (brittle). Pure decision code.

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "base/time.h"

namespace crankspur::gateway {

/// What a response says about the brittleness of its back end.
struct BrittleStatement {
  bool brittle = false;
  std::uint32_t tolerated_rejections = 0;  ///< In a second; 0: none, or the number cannot be read.
  bool success = false;                    ///< Rejections and errors may not state what successes state.
  TimePoint sent_at{};                     ///< When the request of the response was sent.
};

/// Statements by incarnation of the back end. Not thread-safe.
class BrittleBackends {
public:
  /// @return whether the response changed what is known of its back end.
  bool onResponse(const std::string& pool, std::uint64_t incarnation, const BrittleStatement& statement,
                  TimePoint now);

  /// @return whether any back end is known to have stated it lately.
  bool any() const { return !pools_.empty(); }
  /// The back ends of a pool are brittle together: one that has just started has not stated it yet.
  /// @return whether a back end of the pool has stated it lately.
  bool isBrittle(std::string_view pool, TimePoint now) const;

private:
  struct Statement {
    std::uint32_t tolerated_rejections = 0;
    TimePoint stated_at{};
  };
  using Statements = std::map<std::uint64_t, Statement>;  ///< By incarnation.

  static bool isCurrent(const Statement& statement, TimePoint now);

  std::map<std::string, Statements, std::less<>> pools_;
};

}  // namespace crankspur::gateway
