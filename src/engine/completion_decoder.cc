#include "engine/completion_decoder.h"

#include "engine/engine_messages.h"

namespace crankspur {

std::error_code CompletionDecoder::feed(std::string_view bytes, const EventHandler& handler) {
  std::error_code error;
  const bool within_limit = parser_.feed(bytes, [&](std::string_view json) {
    if (!error) error = handleEvent(json, handler);
  });
  if (error) return error;
  if (!within_limit) return ErrorCode::TooLarge;
  return {};
}

std::error_code CompletionDecoder::handleEvent(std::string_view json, const EventHandler& handler) {
  BackendEvent event;
  if (const std::error_code error = decodeStreamEvent(json, event)) return error;
  if (!isInOrder(event)) return ErrorCode::Malformed;
  accepted_ = true;
  ended_ = std::holds_alternative<BackendEnd>(event);
  handler(event);
  return {};
}

bool CompletionDecoder::isInOrder(const BackendEvent& event) const {
  if (ended_) return false;
  return std::holds_alternative<BackendAccepted>(event) != accepted_;
}

}  // namespace crankspur
