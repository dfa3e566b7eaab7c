#pragma once
/// @file The text an engine stand-in answers with: a function of model, weights version, adapter and prompt
/// alone, so that a checker computes what a caller must get and a continuation elsewhere gives the same.

#include <cstdint>
#include <string>
#include <string_view>

namespace crankspur::standin {

/// Identity of an answer.
using AnswerSeed = std::uint64_t;

/// @return the identity of the answer to `prompt`.
AnswerSeed answerSeed(std::string_view model, std::string_view weights_version, std::string_view adapter,
                      std::string_view prompt);

/// @return tokens of the whole answer: where it stops by itself, or `max_tokens` if that is fewer.
std::uint64_t answerTokenCount(AnswerSeed seed, std::uint64_t max_tokens);

/// @return text of the tokens [offset, offset + count); every token is kBytesPerToken bytes.
std::string answerText(AnswerSeed seed, std::uint64_t offset, std::uint64_t count);

/// An answer as a caller must receive it.
struct ExpectedAnswer {
  std::uint64_t token_count = 0;
  std::string text;
  std::uint64_t checksum = 0;  ///< hashBytes over `text`.
  std::string finish_reason;   ///< "stop" or "length".
};

/// @return the whole answer that every correct run gives.
ExpectedAnswer expectedAnswer(std::string_view model, std::string_view weights_version,
                              std::string_view adapter, std::string_view prompt, std::uint64_t max_tokens);

}  // namespace crankspur::standin
