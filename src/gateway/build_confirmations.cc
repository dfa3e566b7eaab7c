#include "gateway/build_confirmations.h"

#include <algorithm>

namespace crankspur::gateway {
namespace {

/// A read takes two calls. All gateways of a fleet together make less than 2,000 a second, which the store
/// takes.
constexpr Duration kMinInterval = std::chrono::milliseconds(20);
constexpr Duration kIntervalPerPeer = std::chrono::microseconds(1'200);
/// After a read that failed: a store that is down or turns calls away is not called more often than that.
constexpr Duration kIntervalAfterFailure = std::chrono::milliseconds(250);

}  // namespace

TimePoint BuildConfirmations::nextRequest(std::size_t peers) const {
  if (requested_ == 0) return TimePoint{};
  if (isPending()) return requested_at_ + kBuildReadTime;
  const bool has_failed = confirmed_ < responded_;
  const Duration shared = kIntervalPerPeer * static_cast<Duration::rep>(peers);
  return requested_at_ + std::max(has_failed ? kIntervalAfterFailure : kMinInterval, shared);
}

std::optional<std::uint64_t> BuildConfirmations::request(std::size_t peers, TimePoint now) {
  if (now < nextRequest(peers)) return std::nullopt;
  requested_at_ = now;
  return ++requested_;
}

void BuildConfirmations::onResponse(const ConfirmedBuilds& response) {
  responded_ = std::max(responded_, response.number);
  if (response.responded) confirmed_ = std::max(confirmed_, response.number);
}

BuildConfirmations::State BuildConfirmations::stateOf(std::uint64_t number) const {
  if (confirmed_ >= number) return State::confirmed;
  return responded_ >= number ? State::failed : State::pending;
}

}  // namespace crankspur::gateway
