#include "standins/engine/completion_text.h"

#include <algorithm>

#include "base/hash.h"
#include "prefix_index/block_hash.h"

namespace crankspur::standin {

namespace {

constexpr std::uint64_t kMinCompletionTokens = 32;
constexpr std::uint64_t kCompletionTokenSpread = 4064;
constexpr std::uint64_t kLengthSalt = 0x6c656e677468;
constexpr std::string_view kConsonants = "bcdfghjklmnpqrstvwxz";
constexpr std::string_view kVowels = "aeiou";

/// Appends one token of kBytesPerToken bytes: three letters and a space.
void appendToken(CompletionSeed seed, std::uint64_t index, std::string& text) {
  std::uint64_t bits = combineHashes(seed, index);
  const auto nextLetter = [&bits](std::string_view letters) {
    const char letter = letters[bits % letters.size()];
    bits /= letters.size();
    return letter;
  };
  text += nextLetter(kConsonants);
  text += nextLetter(kVowels);
  text += nextLetter(kConsonants);
  text += ' ';
}

}  // namespace

CompletionSeed completionSeed(std::string_view model, std::string_view weights_version,
                              std::string_view adapter, std::string_view prompt) {
  CompletionSeed seed = hashBytes(model);
  seed = combineHashes(seed, hashBytes(weights_version));
  seed = combineHashes(seed, hashBytes(adapter));
  return combineHashes(seed, hashBytes(prompt));
}

std::uint64_t completionTokenCount(CompletionSeed seed, std::uint64_t max_tokens) {
  const std::uint64_t natural =
      kMinCompletionTokens + combineHashes(seed, kLengthSalt) % kCompletionTokenSpread;
  return std::min(natural, max_tokens);
}

std::string completionText(CompletionSeed seed, std::uint64_t offset, std::uint64_t count) {
  std::string text;
  text.reserve(count * kBytesPerToken);
  for (std::uint64_t index = offset; index < offset + count; ++index) appendToken(seed, index, text);
  return text;
}

ExpectedCompletion expectedCompletion(std::string_view model, std::string_view weights_version,
                                      std::string_view adapter, std::string_view prompt,
                                      std::uint64_t max_tokens) {
  const CompletionSeed seed = completionSeed(model, weights_version, adapter, prompt);
  ExpectedCompletion completion;
  completion.token_count = completionTokenCount(seed, max_tokens);
  completion.text = completionText(seed, 0, completion.token_count);
  completion.checksum = hashBytes(completion.text);
  completion.finish_reason = completion.token_count < max_tokens ? "stop" : "length";
  return completion;
}

}  // namespace crankspur::standin
