#pragma once
/// @file Answers in the chat-completions form: stream chunks, whole responses, the model list, operations.

#include <cstdint>
#include <string>
#include <string_view>

#include "bundle/bundle.h"

namespace crankspur {

/// Tokens of one answer.
struct TokenUsage {
  std::uint32_t prompt_tokens = 0;
  std::uint64_t completion_tokens = 0;
  std::uint32_t cached_tokens = 0;  ///< Of the prompt, served from an engine's prefix cache.
};

/// What every chunk of one answer repeats.
struct ChatIdentity {
  std::string id;            ///< "chatcmpl-" and the request id.
  std::int64_t created = 0;  ///< Unix seconds.
  std::string model;         ///< As the caller named it.
};

/// Ends a complete stream of events.
inline constexpr std::string_view kDoneEvent = "data: [DONE]\n\n";

/// Each returns one whole server-sent event.
std::string roleChunk(const ChatIdentity& identity);
std::string textChunk(const ChatIdentity& identity, std::string_view text);
std::string finishChunk(const ChatIdentity& identity, std::string_view finish_reason);
std::string usageChunk(const ChatIdentity& identity, const TokenUsage& usage);

/// @return the body of a response that is not streamed.
std::string chatBody(const ChatIdentity& identity, std::string_view text, std::string_view finish_reason,
                     const TokenUsage& usage);

/// @return the body of GET /v1/models: the models and "model:adapter" names that the tenant may use.
std::string modelListBody(const Bundle& bundle, const TenantPolicy& tenant);

/// @return the body of a finished operation.
std::string operationBody(std::string_view request_id, std::string_view operation, std::string_view result);

}  // namespace crankspur
