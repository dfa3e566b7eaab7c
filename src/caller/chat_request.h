#pragma once
/// @file Parsing of chat-completions requests and of operation bodies; all input is untrusted.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "caller/caller_error.h"

namespace crankspur {

/// Limits of a chat request, in addition to the limit on the size of its body.
inline constexpr std::size_t kMaxMessages = 4096;
inline constexpr std::size_t kMaxJsonDepth = 32;
inline constexpr std::size_t kMaxModelNameBytes = 256;

/// Parsed chat-completions request. Sampling parameters and unknown fields are ignored.
struct ChatRequest {
  std::string model;
  std::string adapter;  ///< The part of the requested model name after ':'; empty for the base model.
  std::string prompt;   ///< Canonical prompt text.
  std::optional<std::uint32_t> max_tokens;
  bool stream = false;
  bool include_usage = false;  ///< Whether the stream ends with a usage chunk.
};

/// Parses and validates the body of a chat-completions request.
/// @param error set if nullopt is returned.
std::optional<ChatRequest> parseChatRequest(std::string_view body, CallerError& error);

/// Checks that the body of an operation is a single valid JSON document.
/// @return false, with `error` set, if it is not.
bool checkOperationBody(std::string_view body, CallerError& error);

/// @return one message as canonical prompt text. Role markers within the content are escaped to prevent it
/// from imitating a message of another role.
std::string canonicalMessage(std::string_view role, std::string_view content);

/// End of a canonical prompt, after which the model generates its message.
inline constexpr std::string_view kAssistantTurn = "<|assistant|>\n";

}  // namespace crankspur
