#pragma once
/// @file Response bodies in the chat-completions format: stream chunks, complete responses, the model list
/// and results of operations.

#include <cstdint>
#include <string>
#include <string_view>

#include "bundle/bundle.h"

namespace crankspur {

/// Token counts of one completion.
struct TokenUsage {
  std::uint32_t prompt_tokens = 0;
  std::uint64_t completion_tokens = 0;
  std::uint32_t cached_tokens = 0;  ///< Prompt tokens served from an engine's prefix cache.
};

/// Fields that all chunks of one completion have in common.
struct ChatIdentity {
  std::string id;            ///< "chatcmpl-" followed by the request id.
  std::int64_t created = 0;  ///< Unix time in seconds.
  std::string model;         ///< Model name as the caller sent it.
};

/// Last event of a stream that completed.
inline constexpr std::string_view kDoneEvent = "data: [DONE]\n\n";

/// Each returns one complete server-sent event.
std::string roleChunk(const ChatIdentity& identity);
std::string textChunk(const ChatIdentity& identity, std::string_view text);
std::string finishChunk(const ChatIdentity& identity, std::string_view finish_reason);
std::string usageChunk(const ChatIdentity& identity, const TokenUsage& usage);

/// @return the body of a non-streaming response.
std::string chatBody(const ChatIdentity& identity, std::string_view text, std::string_view finish_reason,
                     const TokenUsage& usage);

/// @return the body of GET /v1/models: the models and "model:adapter" names that the tenant may use.
std::string modelListBody(const Bundle& bundle, const TenantPolicy& tenant);

/// @return the response body of a completed operation.
std::string operationBody(std::string_view request_id, std::string_view operation, std::string_view result);

}  // namespace crankspur
