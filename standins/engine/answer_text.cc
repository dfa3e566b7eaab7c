#include "standins/engine/answer_text.h"

#include <algorithm>

#include "base/hash.h"
#include "prefix_index/block_hash.h"

namespace crankspur::standin {

namespace {

constexpr std::uint64_t kShortestAnswer = 32;
constexpr std::uint64_t kAnswerSpread = 4064;
constexpr std::uint64_t kLengthSalt = 0x6c656e677468;
constexpr std::string_view kConsonants = "bcdfghjklmnpqrstvwxz";
constexpr std::string_view kVowels = "aeiou";

/// Appends a token: three letters and a space, kBytesPerToken bytes.
void appendToken(AnswerSeed seed, std::uint64_t index, std::string& text) {
  std::uint64_t bits = combineHashes(seed, index);
  const auto take = [&bits](std::string_view letters) {
    const char letter = letters[bits % letters.size()];
    bits /= letters.size();
    return letter;
  };
  text += take(kConsonants);
  text += take(kVowels);
  text += take(kConsonants);
  text += ' ';
}

}  // namespace

AnswerSeed answerSeed(std::string_view model, std::string_view weights_version, std::string_view adapter,
                      std::string_view prompt) {
  AnswerSeed seed = hashBytes(model);
  seed = combineHashes(seed, hashBytes(weights_version));
  seed = combineHashes(seed, hashBytes(adapter));
  return combineHashes(seed, hashBytes(prompt));
}

std::uint64_t answerTokenCount(AnswerSeed seed, std::uint64_t max_tokens) {
  const std::uint64_t natural = kShortestAnswer + combineHashes(seed, kLengthSalt) % kAnswerSpread;
  return std::min(natural, max_tokens);
}

std::string answerText(AnswerSeed seed, std::uint64_t offset, std::uint64_t count) {
  std::string text;
  text.reserve(count * kBytesPerToken);
  for (std::uint64_t index = offset; index < offset + count; ++index) appendToken(seed, index, text);
  return text;
}

ExpectedAnswer expectedAnswer(std::string_view model, std::string_view weights_version,
                              std::string_view adapter, std::string_view prompt, std::uint64_t max_tokens) {
  const AnswerSeed seed = answerSeed(model, weights_version, adapter, prompt);
  ExpectedAnswer answer;
  answer.token_count = answerTokenCount(seed, max_tokens);
  answer.text = answerText(seed, 0, answer.token_count);
  answer.checksum = hashBytes(answer.text);
  answer.finish_reason = answer.token_count < max_tokens ? "stop" : "length";
  return answer;
}

}  // namespace crankspur::standin
