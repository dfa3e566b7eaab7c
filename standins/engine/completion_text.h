#pragma once
/// @file The text that an engine stand-in generates: a function of model, weights version, adapter and prompt
/// alone, so that a checker can compute the completion that a caller must receive, and a continuation at
/// another engine generates the same text.

#include <cstdint>
#include <string>
#include <string_view>

namespace crankspur::standin {

/// Determines the text and the length of a completion.
using CompletionSeed = std::uint64_t;

/// @return the seed of the completion of `prompt`.
CompletionSeed completionSeed(std::string_view model, std::string_view weights_version,
                              std::string_view adapter, std::string_view prompt);

/// @return tokens of the complete text: its natural length, bounded by `max_tokens`.
std::uint64_t completionTokenCount(CompletionSeed seed, std::uint64_t max_tokens);

/// @return text of the tokens [offset, offset + count); every token is kBytesPerToken bytes.
std::string completionText(CompletionSeed seed, std::uint64_t offset, std::uint64_t count);

/// A completion as a caller must receive it.
struct ExpectedCompletion {
  std::uint64_t token_count = 0;
  std::string text;
  std::uint64_t checksum = 0;  ///< hashBytes over `text`.
  std::string finish_reason;   ///< "stop" or "length".
};

/// @return the complete text that every correct run generates.
ExpectedCompletion expectedCompletion(std::string_view model, std::string_view weights_version,
                                      std::string_view adapter, std::string_view prompt,
                                      std::uint64_t max_tokens);

}  // namespace crankspur::standin
