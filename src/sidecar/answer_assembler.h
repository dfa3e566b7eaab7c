#pragma once
/// @file Puts the pieces of one answer in order over all attempts. Only contiguous text comes out; repeated
/// pieces are dropped and pieces ahead of a hole wait, within a bound.

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "internal_protocol/messages.h"

namespace crankspur {

/// Contiguous text that is new to the caller.
struct AnswerChunk {
  std::uint64_t offset = 0;  ///< Token offset.
  std::uint32_t token_count = 0;
  std::string text;
};

/// How a stated end compares with what was delivered.
enum class EndCheck {
  Complete,  ///< Count and checksum agree.
  Missing,   ///< Tokens are missing; a resumption may bring them.
  Wrong,     ///< The delivered text is not the answer that the end states.
};

/// Order keeper of one answer.
class AnswerAssembler {
public:
  /// Pieces that may wait behind a hole.
  static constexpr std::size_t kMaximumWaitingPieces = 64;

  /// Takes a piece.
  /// @param chunks receives the text that became contiguous, in order.
  /// @return false when the piece cannot belong to this answer (it overlaps delivered text in part, or too
  /// many pieces wait behind a hole).
  bool add(std::uint64_t offset, std::uint32_t token_count, const std::string& text,
           std::vector<AnswerChunk>& chunks);
  /// Forgets waiting pieces, because a new attempt starts.
  void forgetWaiting() { waiting_.clear(); }
  /// @return how the end agrees with the text delivered so far.
  EndCheck check(const StreamEnd& end) const;
  /// @return tokens delivered so far.
  std::uint64_t tokens() const { return tokens_; }
  /// @return text delivered so far.
  const std::string& text() const { return text_; }

private:
  void append(AnswerChunk chunk, std::vector<AnswerChunk>& chunks);

  std::uint64_t tokens_ = 0;
  std::string text_;
  std::map<std::uint64_t, AnswerChunk> waiting_;  ///< By offset, each beyond tokens_.
};

}  // namespace crankspur
