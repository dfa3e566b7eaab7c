#pragma once
/// @file The sidecar's decisions over one caller request: which router, resubmission, in-order delivery, the
/// final answer. Pure decision code, driven by the sidecar process and by the simulation.

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
/// Action: tell a router to stop an attempt.
struct CancelAtRouter {
  std::string router;
  Cancel cancel;
};
/// Action: hand contiguous new text to the caller.
struct DeliverText {
  std::uint64_t offset = 0;  ///< Token offset.
  std::uint32_t token_count = 0;
  std::string text;
};
/// Action: the whole answer was delivered; count and checksum agreed.
struct DeliverEnd {
  StreamEnd end;
};
/// Action: final error to the caller.
struct DeliverError {
  Refusal refusal;
};
using CallerAction = std::variant<SubmitToRouter, CancelAtRouter, DeliverText, DeliverEnd, DeliverError>;

/// Ranks routers for a request; the first is the preferred one.
class RouterSelector {
public:
  virtual ~RouterSelector() = default;
  /// @return names of usable routers, best first: rendezvous hashing with bounded load, of the model over the
  /// region's routers, or of an operation's key over the own zone's, then the region's; then other regions.
  virtual std::vector<std::string> rank(const SubmitRequest& request) = 0;
};

/// One caller request until its final answer. Exactly one DeliverEnd or DeliverError is ever produced.
class CallerRequest {
public:
  virtual ~CallerRequest() = default;
  virtual void onAccepted(const Accepted& accepted, TimePoint now) = 0;
  virtual void onPiece(const StreamPiece& piece, TimePoint now) = 0;
  virtual void onEnd(const StreamEnd& end, TimePoint now) = 0;
  virtual void onRefusal(const Refusal& refusal, TimePoint now) = 0;
  /// The connection to the router ended. @param submitted false when the submit never left.
  virtual void onRouterLost(const std::string& router, bool submitted, TimePoint now) = 0;
  virtual void onCallerGone(TimePoint now) = 0;
  virtual void onTimer(TimePoint now) = 0;
  virtual std::optional<TimePoint> nextTimer() const = 0;
  virtual std::vector<CallerAction> takeActions() = 0;
  virtual bool finished() const = 0;
};

/// @param request attempt 1, with the caller's deadline; routers are taken from `selector`, which must
/// outlive it.
std::unique_ptr<CallerRequest> makeCallerRequest(SubmitRequest request, RouterSelector& selector,
                                                 std::uint32_t max_attempts, std::uint64_t random_seed,
                                                 TimePoint now);

}  // namespace crankspur
