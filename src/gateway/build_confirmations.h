#pragma once
/// @file Calls that ask the control side to read from the platform which builds of the back ends serve. What
/// a gateway has not seen may serve all the same: its list is as old as the last response, and a process that
/// was suspended does not know that its list is outdated. A read counts for a request only if it began after
/// the request arrived; one read serves all requests that wait for it. Pure decision code.

#include <cstdint>
#include <optional>
#include <vector>

#include "gateway/gateway_snapshot.h"

namespace crankspur::gateway {

/// A request waits for a read at most this long; a store in reach responds in milliseconds, a slow one in
/// some hundred.
inline constexpr Duration kBuildReadTime = std::chrono::milliseconds(500);

/// What the platform stated in response to a ConfirmBuilds action.
struct ConfirmedBuilds {
  std::uint64_t number = 0;  ///< Of the action.
  bool responded = false;    ///< False: the platform did not respond.
  /// Builds that are listed, or have served in the time for which clients resume streams.
  std::vector<ServedBuild> builds;
};

/// Numbers the reads and limits their rate; see the file comment. Not thread-safe.
class BuildConfirmations {
public:
  enum class State {
    pending,
    confirmed,
    failed,
  };

  /// @return the number of the first read that begins after now. It may be one that was not requested yet.
  std::uint64_t next() const { return requested_ + 1; }
  /// To be called while a request waits for the next read.
  /// @param peers other gateways, which read the same store.
  /// @return the number of the read to request now; empty: one is in progress, or the last one was requested
  /// too short a time ago.
  std::optional<std::uint64_t> request(std::size_t peers, TimePoint now);
  /// @return when request() requests the next read, if the one in progress is not answered before.
  TimePoint nextRequest(std::size_t peers) const;
  void onResponse(const ConfirmedBuilds& response);
  /// @return the state of the read, or of a later one, which counts as well.
  State stateOf(std::uint64_t number) const;

private:
  bool isPending() const { return responded_ < requested_; }

  std::uint64_t requested_ = 0;  ///< Number of the last read that was requested.
  std::uint64_t responded_ = 0;  ///< The last one with a response, or a failure.
  std::uint64_t confirmed_ = 0;  ///< The last one with a response.
  TimePoint requested_at_{};
};

}  // namespace crankspur::gateway
