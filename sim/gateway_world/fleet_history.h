#pragma once
/// @file Questions about the records of a run that several checkers ask.

#include <map>
#include <vector>

#include "gateway/crash_policy.h"
#include "sim/gateway_world/fleet_context.h"

namespace crankspur::gateway_sim {

/// A crash of an engine that had a request of one body.
struct CrashUnderBody {
  TimePoint at{};
  std::uint32_t engine = 0;
  TimePoint first_sent_at{};  ///< When attempts of the request that it had were sent there.
  TimePoint last_sent_at{};
  std::uint32_t gateway = 0;  ///< That sent one of them.
  bool silent = false;
};

/// See the file comment.
class FleetHistory {
public:
  explicit FleetHistory(const FleetContext& context);

  const Records& records() const { return context_.records; }
  /// @return crashes under the body before `until`, in their order.
  std::vector<CrashUnderBody> crashesUnder(BodyId body, TimePoint until) const;
  /// How to count where gateways may differ by the way of a message.
  enum class Count { at_least, at_most };
  /// @return crashes under the body in sequence until `until`, but for those that whole answers until `now`
  /// cleared.
  std::uint32_t crashesInSequence(BodyId body, TimePoint until, TimePoint now, Count count_as) const;
  /// @return how long a request is quarantined after so many crashes.
  Duration quarantineAfter(std::size_t crashes) const;

  /// @return whether nothing was done to the gateway between the instants, and for `margin` before.
  bool isUndisturbed(std::uint32_t gateway, TimePoint from, TimePoint to, Duration margin) const;
  bool isStoreUndisturbed(TimePoint from, TimePoint to) const;
  bool areConnectionsUndisturbed(TimePoint from, TimePoint to) const;
  bool areMessagesUndisturbed(TimePoint from, TimePoint to) const;
  /// @return whether a gateway has had time to know all of the crashes at `at`: it and those that saw them
  /// were in touch.
  bool knows(std::uint32_t gateway, const std::vector<CrashUnderBody>& crashes, TimePoint at) const;
  bool isPoison(BodyId body) const;
  /// @return engines that crashed between the instants.
  std::size_t crashedEngines(TimePoint from, TimePoint to) const;

  bool crashedBetween(std::uint32_t engine, TimePoint from, TimePoint to) const;

private:
  struct WholeAnswer {
    TimePoint at{};
    bool known_to_all = false;  ///< Every gateway could hear of it within a second.
  };

  bool wasCleared(const Attempt& attempt) const;
  bool isCleared(BodyId body, TimePoint crashed_at, TimePoint until, Count count_as) const;

  const FleetContext& context_;
  gateway::CrashPolicy policy_;
  std::map<BodyId, std::vector<CrashUnderBody>> crashes_;
  std::map<BodyId, std::vector<WholeAnswer>> answers_;
};

}  // namespace crankspur::gateway_sim
