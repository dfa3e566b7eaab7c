#pragma once
/// @file Wire form of Message: a frame is a 4-byte big-endian length, a 1-byte message kind (the index of the
/// alternative in Message, plus one) and a nanopb-encoded body (proto/crankspur.proto).

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "internal_protocol/messages.h"

namespace crankspur {

/// Maximum size of a frame body in bytes; a longer body closes the connection with ErrorCode::TooLarge.
inline constexpr std::uint32_t kMaxFrameBytes = 8 * 1024 * 1024;

/// @return the complete frame, including its header.
std::string encodeFrame(const Message& message);

/// Outcome of decodeFrame.
struct DecodedFrame {
  ErrorCode error = ErrorCode::Ok;  ///< Malformed or TooLarge: close the connection.
  std::optional<Message> message;   ///< Empty when more bytes are needed or on error.
  std::size_t consumed = 0;         ///< Input bytes that the frame occupies; 0 when more are needed.
};

/// Decodes the first frame of `bytes`, which is untrusted input.
DecodedFrame decodeFrame(std::string_view bytes);

}  // namespace crankspur
