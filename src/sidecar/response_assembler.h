#pragma once
/// @file Reassembles the streamed pieces of one response across all attempts. Emits contiguous text only:
/// duplicate pieces are dropped, and pieces after a gap are buffered up to a limit.

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "internal_protocol/messages.h"

namespace crankspur {

/// Contiguous text not yet delivered to the caller.
struct ResponseChunk {
  std::uint64_t offset = 0;  ///< Token offset.
  std::uint32_t token_count = 0;
  std::string text;
};

/// Result of comparing a StreamEnd with the delivered text.
enum class EndCheck {
  Complete,    ///< Token count and checksum match.
  Incomplete,  ///< Tokens are missing; resuming may supply them.
  Mismatch,    ///< The delivered text contradicts the StreamEnd.
};

/// Reassembles one response.
class ResponseAssembler {
public:
  /// Maximum number of pieces buffered after a gap.
  static constexpr std::size_t kMaxBufferedPieces = 64;

  /// Adds a piece.
  /// @param chunks receives the text that became contiguous, in order.
  /// @return false when the piece is invalid: it partially overlaps delivered text, or too many pieces are
  /// buffered after a gap.
  bool add(std::uint64_t offset, std::uint32_t token_count, const std::string& text,
           std::vector<ResponseChunk>& chunks);
  /// Discards buffered pieces before a new attempt.
  void discardBuffered() { buffered_.clear(); }
  /// @return how `end` compares with the text delivered so far.
  EndCheck check(const StreamEnd& end) const;
  /// @return number of tokens delivered so far.
  std::uint64_t tokens() const { return tokens_; }
  /// @return text delivered so far.
  const std::string& text() const { return text_; }

private:
  void append(ResponseChunk chunk, std::vector<ResponseChunk>& chunks);

  std::uint64_t tokens_ = 0;
  std::string text_;
  std::map<std::uint64_t, ResponseChunk> buffered_;  ///< By offset; all beyond tokens_.
};

}  // namespace crankspur
