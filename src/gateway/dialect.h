#pragma once
/// @file How one platform spells requests and answers. The gateway decides in its own terms; a dialect
/// translates between them and HTTP heads. Implementations live outside the product's packages.

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "gateway/gateway_snapshot.h"
#include "http/message.h"

namespace crankspur::gateway {

/// One part of a prompt; parts of equal id are equal.
struct PromptPart {
  std::uint64_t id = 0;
  std::uint32_t tokens = 0;
};

/// What a client's head says, in the gateway's terms.
struct ClientRequest {
  std::string request_id;  ///< Unique for each client attempt.
  std::string api_key;     ///< Empty: none sent.
  std::string model;
  std::vector<PromptPart> prompt;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t maximum_answer_tokens = 0;
  std::uint32_t estimated_answer_tokens = 0;  ///< The client's estimate; 0: none.
  std::optional<Duration> deadline;           ///< Time the client waits from now; empty: none stated.
  std::optional<std::uint64_t> resume_after;  ///< Last event the client has of a stream.
};

/// What the gateway adds to a request for a back end.
struct ForwardTerms {
  std::string expected_backend;  ///< Incarnation id that has to match, otherwise nothing runs.
  std::string tenant;
  std::optional<std::uint64_t> expected_weights;
  Duration deadline{0};
  std::uint32_t priority = 5;  ///< 0 to 9, 0 first.
  std::string cache_scope;     ///< Prefixes are shared only under equal scopes.
  std::string import_from;     ///< "IP:port" of a back end or store to fetch cached parts from; empty: none.
  std::string save_to;         ///< "IP:port" of a store to send parts to; empty: none.
  std::optional<std::uint64_t> resume_after;
};

/// What a back end's head means.
struct BackendResponse {
  bool not_run = false;        ///< The back end says that it ran nothing and will not.
  bool wrong_backend = false;  ///< Another incarnation, or other weights, than expected.
  bool other_request = false;  ///< The answer belongs to a request other than the one asked: discard it.
  bool genuine = false;        ///< Bears the marks of a back end's own answer.
  std::optional<std::uint64_t> weights_version;
};

/// Translates heads. Stateless; safe to share between threads.
class Dialect {
public:
  virtual ~Dialect() = default;
  /// @return what the head says; empty when it is malformed (answered 400).
  virtual std::optional<ClientRequest> readRequest(const http::Request& head) const = 0;
  /// @return the headers to send on: the client's but for those of a single connection and those that
  /// `terms` replaces, and those of `terms`.
  virtual http::Headers forwardHeaders(const http::Request& head, const ForwardTerms& terms) const = 0;
  virtual BackendResponse readResponse(const http::Response& head, const std::string& request_id) const = 0;
};

}  // namespace crankspur::gateway
