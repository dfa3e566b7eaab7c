#include "sidecar/response_assembler.h"

#include <utility>

#include "base/hash.h"

namespace crankspur {

bool ResponseAssembler::add(std::uint64_t offset, std::uint32_t token_count, const std::string& text,
                            std::vector<ResponseChunk>& chunks) {
  if (token_count == 0) return text.empty();
  if (offset + token_count <= tokens_) return true;
  if (offset < tokens_) return false;
  if (offset > tokens_) {
    if (buffered_.size() >= kMaxBufferedPieces) return false;
    buffered_.try_emplace(offset, ResponseChunk{offset, token_count, text});
    return true;
  }
  append({offset, token_count, text}, chunks);
  while (!buffered_.empty() && buffered_.begin()->first <= tokens_) {
    auto node = buffered_.extract(buffered_.begin());
    ResponseChunk& next = node.mapped();
    if (next.offset + next.token_count <= tokens_) continue;
    if (next.offset < tokens_) return false;
    append(std::move(next), chunks);
  }
  return true;
}

void ResponseAssembler::append(ResponseChunk chunk, std::vector<ResponseChunk>& chunks) {
  tokens_ += chunk.token_count;
  text_ += chunk.text;
  chunks.push_back(std::move(chunk));
}

EndCheck ResponseAssembler::check(const StreamEnd& end) const {
  if (end.token_count > tokens_) return EndCheck::Incomplete;
  if (end.token_count < tokens_) return EndCheck::Mismatch;
  return end.checksum == hashBytes(text_) ? EndCheck::Complete : EndCheck::Mismatch;
}

}  // namespace crankspur
