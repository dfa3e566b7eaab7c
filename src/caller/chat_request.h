#pragma once
/// @file Parsing of chat-completions requests and of operation bodies; all input is untrusted.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "caller/caller_error.h"

namespace crankspur {

/// Bounds of a chat request beyond the size of its body.
inline constexpr std::size_t kMaximumMessages = 4096;
inline constexpr std::size_t kMaximumJsonDepth = 32;
inline constexpr std::size_t kMaximumModelNameBytes = 256;

/// A chat-completions request as the project needs it. Sampling fields and others unknown are not kept.
struct ChatRequest {
  std::string model;
  std::string adapter;  ///< The part after ':' of the request's model name; empty for the base model.
  std::string prompt;   ///< Canonical prompt text.
  std::optional<std::uint32_t> max_tokens;
  bool stream = false;
  bool include_usage = false;  ///< The stream ends with a chunk that tells the usage.
};

/// @param error set when empty is returned.
std::optional<ChatRequest> parseChatRequest(std::string_view body, CallerError& error);

/// Checks that the body of an operation is one JSON document.
/// @return false with `error` set otherwise.
bool checkOperationBody(std::string_view body, CallerError& error);

/// @return one message in canonical prompt text. Text that looks like a role marker is defused, so that no
/// content can pose as another role.
std::string canonicalMessage(std::string_view role, std::string_view content);

/// Ends a canonical prompt: the model's turn.
inline constexpr std::string_view kAssistantTurn = "<|assistant|>\n";

}  // namespace crankspur
