#include "engine/completion_decoder.h"

#include <catch2/catch.hpp>

#include "base/hash.h"

namespace crankspur {
namespace {

const std::string kAccepted =
    "data: {\"type\":\"accepted\",\"incarnation\":7,\"weights_version\":\"w\",\"prompt_tokens\":20,"
    "\"cached_tokens\":16}\n\n";
const std::string kTokens = "data: {\"type\":\"tokens\",\"offset\":0,\"count\":2,\"text\":\"bab dad \"}\n\n";
const std::string kEnd =
    "data: {\"type\":\"end\",\"token_count\":2,\"checksum\":\"00000000000000aa\",\"finish_reason\":\"stop\"}"
    "\n\n";

struct DecodedStream {
  std::error_code error;
  std::vector<BackendEvent> events;
  bool ended = false;
};

DecodedStream decode(const std::string& bytes, std::size_t chunk_size) {
  DecodedStream decoded;
  CompletionDecoder decoder;
  for (std::size_t begin = 0; begin < bytes.size() && !decoded.error; begin += chunk_size) {
    decoded.error = decoder.feed(std::string_view(bytes).substr(begin, chunk_size),
                                 [&decoded](const BackendEvent& event) { decoded.events.push_back(event); });
  }
  decoded.ended = decoder.ended();
  return decoded;
}

TEST_CASE("a stream is decoded regardless of how it is split into chunks", "[engine]") {
  for (const std::size_t chunk_size : {std::size_t{1}, std::size_t{7}, std::size_t{10'000}}) {
    const DecodedStream decoded = decode(kAccepted + kTokens + kEnd, chunk_size);
    CHECK_FALSE(decoded.error);
    CHECK(decoded.ended);
    REQUIRE(decoded.events.size() == 3);
    CHECK(std::get<BackendAccepted>(decoded.events[0]).cached_tokens == 16);
    CHECK(std::get<BackendPiece>(decoded.events[1]).text == "bab dad ");
    CHECK(std::get<BackendEnd>(decoded.events[2]).checksum == 0xaa);
  }
}

TEST_CASE("a stream with events out of order or invalid events is malformed", "[engine]") {
  const std::vector<std::string> bad = {
      kTokens,
      kEnd,
      kAccepted + kAccepted,
      kAccepted + kTokens + kEnd + kTokens,
      kAccepted + "data: {}\n\n",
      kAccepted + "data: {\"type\":\"tokens\"}\n\n",
      kAccepted + "data: {\"type\":\"tokens\",\"offset\":-1,\"count\":1,\"text\":\"\"}\n\n",
      kAccepted +
          "data: {\"type\":\"end\",\"token_count\":2,\"checksum\":170,\"finish_reason\":\"stop\"}\n\n",
      "data: {\"type\":\"accepted\",\"incarnation\":7,\"weights_version\":\"w\",\"prompt_tokens\":20,"
      "\"cached_tokens\":21}\n\n",
      "data: \xff\xfe\n\n",
  };
  for (const std::string& bytes : bad) CHECK(decode(bytes, 64).error == ErrorCode::Malformed);
}

TEST_CASE("an event above the size limit is rejected", "[engine]") {
  CHECK(decode("data: " + std::string(3 * 1024 * 1024, 'x'), 64 * 1024).error == ErrorCode::TooLarge);
}

}  // namespace
}  // namespace crankspur
