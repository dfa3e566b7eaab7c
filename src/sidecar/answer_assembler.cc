#include "sidecar/answer_assembler.h"

#include <utility>

#include "base/hash.h"

namespace crankspur {

bool AnswerAssembler::add(std::uint64_t offset, std::uint32_t token_count, const std::string& text,
                          std::vector<AnswerChunk>& chunks) {
  if (token_count == 0) return text.empty();
  if (offset + token_count <= tokens_) return true;
  if (offset < tokens_) return false;
  if (offset > tokens_) {
    if (waiting_.size() >= kMaximumWaitingPieces) return false;
    waiting_.try_emplace(offset, AnswerChunk{offset, token_count, text});
    return true;
  }
  append({offset, token_count, text}, chunks);
  while (!waiting_.empty() && waiting_.begin()->first <= tokens_) {
    auto node = waiting_.extract(waiting_.begin());
    AnswerChunk& next = node.mapped();
    if (next.offset + next.token_count <= tokens_) continue;
    if (next.offset < tokens_) return false;
    append(std::move(next), chunks);
  }
  return true;
}

void AnswerAssembler::append(AnswerChunk chunk, std::vector<AnswerChunk>& chunks) {
  tokens_ += chunk.token_count;
  text_ += chunk.text;
  chunks.push_back(std::move(chunk));
}

EndCheck AnswerAssembler::check(const StreamEnd& end) const {
  if (end.token_count > tokens_) return EndCheck::Missing;
  if (end.token_count < tokens_) return EndCheck::Wrong;
  return end.checksum == hashBytes(text_) ? EndCheck::Complete : EndCheck::Wrong;
}

}  // namespace crankspur
