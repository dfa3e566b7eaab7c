#pragma once
/// @file Actions that a Gateway decides. The traffic thread executes them in order.

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "gateway/dialect.h"
#include "gateway/request_observer.h"
#include "prefix_index/prefix_index.h"

namespace crankspur::gateway {

/// @return whether clients take the status to mean that the request was not run.
inline bool impliesNotRun(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

inline bool isSuccess(int status) {
  return status / 100 == 2;
}

/// Identifies a client request; assigned by the driver, never reused.
using ClientId = std::uint64_t;
/// Identifies a request to a back end; assigned by Gateway, never reused.
using ExchangeId = std::uint64_t;

/// Responds with a status of the gateway's own. No response was started before.
struct Refuse {
  ClientId client = 0;
  int status = 503;
  Duration retry_after{0};  ///< 0: the response states none.
  RequestCause cause = RequestCause::none;
  bool out_of_reach =
      false;  ///< Another gateway relayed the request, and this one reaches too few back ends or stops.
};

/// Sends the client's request to a back end.
struct Dispatch {
  ExchangeId exchange = 0;
  ClientId client = 0;
  std::string address;
  ForwardTerms terms;
};

/// Sends the client's request to another gateway, which serves it as if the client had sent it there.
struct RelayToPeer {
  ExchangeId exchange = 0;
  ClientId client = 0;
  std::string address;
  Duration time_left{0};
};

/// Closes the connection of an exchange; the driver reports no further events of it.
struct CancelExchange {
  ExchangeId exchange = 0;
  bool timed_out = false;  ///< No response within the time limit: the connection may have gone silent.
};

/// Cancels an exchange of which no byte was written yet, and reports it as lost without being sent. Any other
/// exchange continues.
struct RecallUnsent {
  ExchangeId exchange = 0;
};

/// Ignores the rest of the response. It is short, so that the connection may be reused instead of closed.
struct DiscardResponse {
  ExchangeId exchange = 0;
};

/// Forwards a complete response: the head and the buffered body.
struct ForwardResponse {
  ClientId client = 0;
  ExchangeId exchange = 0;
};

/// Starts the response with the head of an exchange and the part of its body buffered so far.
struct ForwardHead {
  ClientId client = 0;
  ExchangeId exchange = 0;
};

/// Forwards body bytes.
struct ForwardBytes {
  ClientId client = 0;
  ExchangeId exchange = 0;  ///< From which they were received.
  std::string bytes;
};

/// Completes a response that was started.
struct EndResponse {
  ClientId client = 0;
};

/// Aborts a response that was started, so that the client sees it as incomplete.
struct AbortResponse {
  ClientId client = 0;
};

/// Reports to the control thread that a back end cannot be reached.
struct ReportUnreachable {
  EngineSlot slot = 0;
  std::uint64_t incarnation = 0;
};

/// Reports to the control thread that a back end has another incarnation or other weights than assumed.
struct ReportWrongBackend {
  EngineSlot slot = 0;
  std::uint64_t incarnation = 0;
  std::optional<std::uint64_t> weights_version;  ///< That it has; empty: another incarnation responded.
};

/// Result of a probe.
enum class ProbeOutcome {
  responded,  ///< With any status.
  refused,    ///< No process accepts connections at the address.
  silent,     ///< Neither in time: the back end may be busy, gone or out of reach.
};

/// Requests the health path of a back end whose connection broke; the result goes to
/// Gateway::onProbeResult().
struct ProbeBackend {
  std::uint64_t probe = 0;  ///< Assigned by Gateway, never reused.
  std::string address;
  std::string path;
};

/// Reads from the platform which builds serve; the result goes to Gateway::onBuildsConfirmed().
struct ConfirmBuilds {
  std::uint64_t number = 0;  ///< Ascending.
};

using GatewayAction =
    std::variant<Refuse, Dispatch, RelayToPeer, CancelExchange, RecallUnsent, DiscardResponse,
                 ForwardResponse, ForwardHead, ForwardBytes, EndResponse, AbortResponse, ReportUnreachable,
                 ReportWrongBackend, ProbeBackend, ConfirmBuilds>;

}  // namespace crankspur::gateway
