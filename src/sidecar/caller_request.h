#pragma once
/// @file Handling of one caller request by the sidecar: choice of router, resubmission, in-order delivery and
/// the final response. Decision logic only, without I/O; driven by the sidecar process and by the simulation.

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/random.h"
#include "internal_protocol/messages.h"

namespace crankspur {

/// Action: submit an attempt to a router.
struct SubmitToRouter {
  std::string router;  ///< Member name.
  SubmitRequest request;
};
/// Action: cancel an attempt at a router.
struct CancelAtRouter {
  std::string router;
  Cancel cancel;
};
/// Action: deliver the next contiguous text to the caller.
struct DeliverText {
  std::uint64_t offset = 0;  ///< Token offset.
  std::uint32_t token_count = 0;
  std::string text;
};
/// Action: the complete response was delivered; token count and checksum match.
struct DeliverEnd {
  StreamEnd end;
};
/// Action: deliver the final error to the caller.
struct DeliverError {
  Refusal refusal;
};
using CallerAction = std::variant<SubmitToRouter, CancelAtRouter, DeliverText, DeliverEnd, DeliverError>;

/// Ranks routers for a request by preference.
class RouterSelector {
public:
  virtual ~RouterSelector() = default;
  /// @return names of usable routers, best first, by rendezvous hashing with bounded load. Completions hash
  /// the model over the routers of the region; operations hash their key over the routers of the own zone,
  /// then of the region. Routers of other regions come last.
  virtual std::vector<std::string> rank(const SubmitRequest& request) = 0;
};

/// One caller request until its final response. Produces exactly one DeliverEnd or DeliverError.
class CallerRequest {
public:
  virtual ~CallerRequest() = default;
  virtual void onAccepted(const Accepted& accepted, TimePoint now) = 0;
  virtual void onPiece(const StreamPiece& piece, TimePoint now) = 0;
  virtual void onEnd(const StreamEnd& end, TimePoint now) = 0;
  virtual void onRefusal(const Refusal& refusal, TimePoint now) = 0;
  /// The connection to the router ended. @param submitted false if the submit was not sent.
  virtual void onRouterLost(const std::string& router, bool submitted, TimePoint now) = 0;
  virtual void onCallerDisconnected(TimePoint now) = 0;
  virtual void onTimer(TimePoint now) = 0;
  virtual std::optional<TimePoint> nextTimer() const = 0;
  virtual std::vector<CallerAction> takeActions() = 0;
  virtual bool finished() const = 0;
};

/// @param request the first attempt, with the caller's deadline.
/// @param selector ranks the routers; must outlive the result.
std::unique_ptr<CallerRequest> makeCallerRequest(SubmitRequest request, RouterSelector& selector,
                                                 std::uint32_t max_attempts, std::uint64_t random_seed,
                                                 TimePoint now);

}  // namespace crankspur
