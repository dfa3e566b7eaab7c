#pragma once
/// @file Typed forms of what engines say and are told, and their JSON codec. Free of I/O.

#include <cstdint>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

#include "base/time.h"
#include "placement/engine_view.h"
#include "prefix_index/prefix_index.h"
#include "router/request_router.h"

namespace crankspur {

/// Answer of GET /v1/engine.
struct EngineDescription {
  std::string name;
  std::uint64_t incarnation = 0;
  EngineRole role = EngineRole::Mixed;
  bool leaving = false;
  std::vector<LoadedModel> models;
  std::uint32_t batch_limit = 0;
  std::uint32_t cache_blocks_total = 0;
};

/// Answer of GET /v1/load.
struct EngineLoadAnswer {
  std::uint64_t incarnation = 0;
  LoadReport report;
};

/// Answer of GET /v1/cache_events.
struct CacheEventsAnswer {
  std::uint64_t incarnation = 0;
  std::uint64_t last_sequence = 0;
  std::vector<CacheEvent> events;
};

/// Answer of GET /v1/cache_digest.
struct CacheDigestAnswer {
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;
  std::vector<BlockHash> blocks;
  Duration retry_after{0};  ///< Set beside RateLimited.
};

/// Arguments of POST /v1/resume.
struct EngineResume {
  std::string request_id;
  std::uint32_t attempt = 1;
  std::uint64_t expect_incarnation = 0;
  std::uint64_t offset = 0;
};

/// Kinds of orders.
enum class EngineOrderKind { LoadWeights, LoadAdapter, SetRole, Drain };

/// Arguments of POST /v1/orders. Fields that the kind does not use stay empty.
struct EngineOrderCall {
  std::uint64_t token = 0;  ///< Fencing token of the lease.
  EngineOrderKind kind = EngineOrderKind::Drain;
  std::string model;
  std::string weights_version;
  std::string adapter;
  EngineRole role = EngineRole::Mixed;
  std::uint64_t expect_incarnation = 0;  ///< 0: any. Guards against an engine that restarted and forgot.
};

/// An error body {"error":{"code","message","ran"}}.
struct EngineErrorAnswer {
  ErrorCode code = ErrorCode::Internal;
  RunState ran = RunState::Unknown;  ///< Unknown unless the body said otherwise.
  std::string message;
};

/// Encoders of request bodies.
std::string encodeCompletion(const DispatchCompletion& dispatch);
std::string encodeResume(const EngineResume& resume);
std::string encodeCancel(std::string_view request_id, std::uint32_t attempt);
std::string encodeOrder(const EngineOrderCall& order);

/// Decoders of untrusted answers. On Malformed `out` is left in an unspecified state.
std::error_code decodeDescription(std::string_view json, EngineDescription& out);
/// @param now instant of arrival; report.measured_at is `now` less the stated age.
std::error_code decodeLoad(std::string_view json, TimePoint now, EngineLoadAnswer& out);
std::error_code decodeCacheEvents(std::string_view json, CacheEventsAnswer& out);
std::error_code decodeCacheDigest(std::string_view json, CacheDigestAnswer& out);
/// Decodes one event of a completion stream: accepted, tokens or end.
std::error_code decodeStreamEvent(std::string_view json, BackendEvent& out);
/// @return the decoded error body; code Malformed and ran Unknown when it does not decode.
EngineErrorAnswer decodeError(std::string_view json);
/// @return the value of a Retry-After header (seconds, may be fractional); 0 when absent or bad.
Duration decodeRetryAfter(std::string_view header);

}  // namespace crankspur
