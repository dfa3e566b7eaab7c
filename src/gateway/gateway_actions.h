#pragma once
/// @file What a Gateway decides. The traffic thread carries the actions out in their order.

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "gateway/dialect.h"
#include "gateway/request_observer.h"
#include "prefix_index/prefix_index.h"

namespace crankspur::gateway {

/// Names one client request; chosen by the driver, never used again.
using ClientId = std::uint64_t;
/// Names one request to a back end; chosen by Gateway, never used again.
using ExchangeId = std::uint64_t;

/// Answers with a status of the gateway's own. No answer was begun before.
struct Refuse {
  ClientId client = 0;
  int status = 503;
  Duration retry_after{0};  ///< 0: none is stated.
  RequestCause cause = RequestCause::none;
};

/// Sends the client's request to a back end.
struct Dispatch {
  ExchangeId exchange = 0;
  ClientId client = 0;
  std::string address;
  ForwardTerms terms;
};

/// Closes the connection of an exchange; nothing of it is heard any more.
struct CancelExchange {
  ExchangeId exchange = 0;
  bool unanswered = false;  ///< No answer came in the time for it: the connection may have gone silent.
};

/// Nothing more of the exchange is wanted, but its answer is short: the connection may be used again after
/// it.
struct DiscardResponse {
  ExchangeId exchange = 0;
};

/// Passes the whole answer on: the head and the body kept until now.
struct ForwardResponse {
  ClientId client = 0;
  ExchangeId exchange = 0;
};

/// Begins the answer with the head of an exchange, and what of its body was kept until now.
struct ForwardHead {
  ClientId client = 0;
  ExchangeId exchange = 0;
};

/// Passes bytes of the body on.
struct ForwardBytes {
  ClientId client = 0;
  std::string bytes;
};

/// Ends an answer that was begun, as complete.
struct EndResponse {
  ClientId client = 0;
};

/// Cuts an answer that was begun, so that it looks incomplete.
struct AbortResponse {
  ClientId client = 0;
};

/// Tells the control side that a back end cannot be reached.
struct ReportUnreachable {
  EngineSlot slot = 0;
  std::uint64_t incarnation = 0;
};

/// Tells the control side that a back end is not what it was taken for.
struct ReportWrongBackend {
  EngineSlot slot = 0;
  std::uint64_t incarnation = 0;
  std::optional<std::uint64_t> weights_version;
};

/// Asks a back end that broke off for its health; answered by Gateway::onProbeResult().
struct ProbeBackend {
  std::uint64_t probe = 0;  ///< Chosen by Gateway, never used again.
  std::string address;
  std::string path;
};

using GatewayAction = std::variant<Refuse, Dispatch, CancelExchange, DiscardResponse, ForwardResponse,
                                   ForwardHead, ForwardBytes, EndResponse, AbortResponse, ReportUnreachable,
                                   ReportWrongBackend, ProbeBackend>;

}  // namespace crankspur::gateway
