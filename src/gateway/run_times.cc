#include "gateway/run_times.h"

#include <algorithm>
#include <utility>

namespace crankspur::gateway {
namespace {

/// Weight of one request in the smoothed time.
constexpr std::int64_t kSmoothingDivisor = 8;
/// The longest time of a request is remembered for one to two of these periods.
constexpr Duration kPeriod = std::chrono::minutes(1);
/// Routes come and go with configurations; those without requests are forgotten beyond this number.
constexpr std::size_t kMaxRoutes = 4096;

}  // namespace

void RunTimes::onEnded(const std::string& route, Duration taken, TimePoint now) {
  if (routes_.size() >= kMaxRoutes && !routes_.contains(route)) {
    absl::erase_if(routes_, [&](const auto& item) { return now - item.second.ended_at >= 2 * kPeriod; });
  }
  const auto [found, is_new] = routes_.try_emplace(route);
  Times& times = found->second;
  if (is_new || now - times.ended_at >= 2 * kPeriod) {
    times = Times();
    times.typical = taken;
    times.period_since = now;
  }
  if (now - times.period_since >= kPeriod) {
    times.longest_before = std::exchange(times.longest, Duration(0));
    times.ended_before = std::exchange(times.ended, 0U);
    times.period_since = now;
  }
  ++times.ended;
  times.typical += (taken - times.typical) / kSmoothingDivisor;
  times.longest = std::max(times.longest, taken);
  times.ended_at = now;
}

const RunTimes::Times* RunTimes::find(const std::string& route, TimePoint now) const {
  const auto found = routes_.find(route);
  if (found == routes_.end() || now - found->second.ended_at >= 2 * kPeriod) return nullptr;
  return &found->second;
}

std::optional<Duration> RunTimes::typical(const std::string& route, TimePoint now) const {
  const Times* times = find(route, now);
  if (times == nullptr) return std::nullopt;
  return times->typical;
}

std::optional<Duration> RunTimes::longest(const std::string& route, TimePoint now) const {
  const Times* times = find(route, now);
  if (times == nullptr) return std::nullopt;
  return std::max(times->longest, times->longest_before);
}

std::uint32_t RunTimes::known(const std::string& route, TimePoint now) const {
  const Times* times = find(route, now);
  return times == nullptr ? 0 : times->ended + times->ended_before;
}

}  // namespace crankspur::gateway
