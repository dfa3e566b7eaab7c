#pragma once
/// @file Interface to the HTTP dialect of a platform. It translates between HTTP heads and the types that the
/// gateway decides on. Implementations are not part of the product's packages.

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "gateway/gateway_snapshot.h"
#include "http/client.h"
#include "http/message.h"

namespace crankspur::gateway {

/// One part of a prompt. Parts with equal ids have equal content.
struct PromptPart {
  std::uint64_t id = 0;
  std::uint32_t tokens = 0;
};

/// Parsed head of a client's request.
struct ClientRequest {
  std::string request_id;  ///< Unique for each client attempt.
  std::string api_key;     ///< Empty: none sent.
  std::string model;
  std::vector<PromptPart> prompt;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t max_completion_tokens = 0;
  std::uint32_t estimated_completion_tokens = 0;  ///< The client's estimate; 0: none.
  std::optional<Duration> deadline;           ///< Remaining time that the client waits; empty: not stated.
  std::optional<std::uint64_t> resume_after;  ///< Last event of a stream that the client received.
  std::string resumed_attempt;  ///< Id of the client attempt that brought the stream's first event; empty:
                                ///< not stated.
};

/// Values that the gateway adds to a request for a back end.
struct ForwardTerms {
  std::string expected_backend;  ///< Incarnation id that has to match; otherwise the request is not run.
  std::string tenant;
  std::optional<std::uint64_t> expected_weights;
  Duration deadline{0};
  std::uint32_t priority = 5;  ///< 0 to 9; 0 is the most urgent.
  std::string cache_scope;     ///< Prefixes are shared only under equal scopes.
  std::string import_from;     ///< "IP:port" of a back end or store to fetch cached parts from; empty: none.
  std::string save_to;         ///< "IP:port" of a store to send parts to; empty: none.
  std::optional<std::uint64_t> resume_after;
};

/// Parsed head of a back end's response.
struct BackendResponse {
  http::ResponseOwner owner = http::ResponseOwner::not_stated;
  bool not_run = false;        ///< The back end did not run the request and will not.
  bool wrong_backend = false;  ///< Another incarnation, or other weights, than expected.
  bool genuine = false;        ///< Has the headers of a response made by a back end itself.
  std::optional<std::uint64_t> weights_version;
  /// Requests per second that the back end takes from all gateways together; empty: it names no limit.
  std::optional<double> requests_per_second;
  std::string invalid_limit;  ///< A limit that is no positive number; empty: none.
  /// Time for which the back end, which rejected the request, wants no others from this gateway; empty: it
  /// states none.
  std::optional<Duration> pause;
  std::string invalid_pause;  ///< A pause that is no number of seconds; empty: none.
  bool leaving = false;       ///< The back end is about to end.
  /// Requests that the back end can reject in a second for want of room without falling over; 0: none, or the
  /// number cannot be read. Empty: it does not say that it is brittle.
  std::optional<std::uint32_t> tolerated_rejections;
  /// Set by the driver, not by the dialect.
  http::BodyFraming framing = http::BodyFraming::Chunked;
  bool out_of_reach = false;  ///< Another gateway refused it since it reaches no back end. Set by the driver.
  bool event_stream = false;  ///< The body is a stream of server-sent events. Set by the driver.
};

/// Translates heads. Stateless; safe to share between threads.
class Dialect {
public:
  virtual ~Dialect() = default;
  /// @return the parsed head; empty if it is malformed (status 400).
  virtual std::optional<ClientRequest> readRequest(const http::Request& head) const = 0;
  /// @return the headers to forward: the client's, without hop-by-hop headers and those that `terms`
  /// replaces, and the headers of `terms`.
  virtual http::Headers forwardHeaders(const http::Request& head, const ForwardTerms& terms) const = 0;
  /// @return the headers to relay to another gateway: the client's, with its remaining time.
  virtual http::Headers relayHeaders(const http::Request& head, Duration time_left) const = 0;
  virtual BackendResponse readResponse(const http::Response& head, const std::string& request_id) const = 0;
};

}  // namespace crankspur::gateway
