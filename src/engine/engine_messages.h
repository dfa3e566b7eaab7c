#pragma once
/// @file Messages exchanged with engines and their JSON codec. Does no I/O.

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

/// Response to GET /v1/engine.
struct EngineDescription {
  std::string name;
  std::uint64_t incarnation = 0;
  EngineRole role = EngineRole::Mixed;
  bool leaving = false;
  std::vector<LoadedModel> models;
  std::uint32_t batch_limit = 0;
  std::uint32_t cache_blocks_total = 0;
};

/// Response to GET /v1/load.
struct EngineLoadResponse {
  std::uint64_t incarnation = 0;
  LoadReport report;
};

/// Response to GET /v1/cache_events.
struct CacheEventsResponse {
  std::uint64_t incarnation = 0;
  std::uint64_t last_sequence = 0;
  std::vector<CacheEvent> events;
};

/// Response to GET /v1/cache_digest.
struct CacheDigestResponse {
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;
  std::vector<BlockHash> blocks;
  Duration retry_after{0};  ///< Set with RateLimited.
};

/// Body of POST /v1/resume.
struct EngineResumeRequest {
  std::string request_id;
  std::uint32_t attempt = 1;
  std::uint64_t expect_incarnation = 0;
  std::uint64_t offset = 0;
};

/// Orders that an engine can execute.
enum class EngineOrderKind { LoadWeights, LoadAdapter, SetRole, Drain };

/// Body of POST /v1/orders. Fields that the kind does not use stay empty.
struct EngineOrderRequest {
  std::uint64_t token = 0;  ///< Fencing token of the lease.
  EngineOrderKind kind = EngineOrderKind::Drain;
  std::string model;
  std::string weights_version;
  std::string adapter;
  EngineRole role = EngineRole::Mixed;
  std::uint64_t expect_incarnation =
      0;  ///< 0: any. Guards against an engine that lost its state in a restart.
};

/// An error body {"error":{"code","message","ran"}}.
struct EngineErrorResponse {
  ErrorCode code = ErrorCode::Internal;
  RunState ran = RunState::Unknown;  ///< Unknown unless the body states it.
  std::string message;
};

/// Encoders of request bodies.
std::string encodeCompletion(const DispatchCompletion& dispatch);
std::string encodeResume(const EngineResumeRequest& resume);
std::string encodeCancel(std::string_view request_id, std::uint32_t attempt);
std::string encodeOrder(const EngineOrderRequest& order);

/// Decoders of untrusted responses. After Malformed the content of `out` is unspecified.
std::error_code decodeDescription(std::string_view json, EngineDescription& out);
/// @param now time of receipt; report.measured_at is `now` minus the age stated by the engine.
std::error_code decodeLoad(std::string_view json, TimePoint now, EngineLoadResponse& out);
std::error_code decodeCacheEvents(std::string_view json, CacheEventsResponse& out);
std::error_code decodeCacheDigest(std::string_view json, CacheDigestResponse& out);
/// Decodes one event (accepted, tokens or end) of a completion stream.
std::error_code decodeStreamEvent(std::string_view json, BackendEvent& out);
/// @return the decoded error body; `code` Malformed and `ran` Unknown when it is invalid.
EngineErrorResponse decodeError(std::string_view json);
/// @return the value of a Retry-After header in seconds, possibly fractional; 0 when absent or invalid.
Duration decodeRetryAfter(std::string_view header);

}  // namespace crankspur
