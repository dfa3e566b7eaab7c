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

struct Fed {
  std::error_code error;
  std::vector<BackendEvent> events;
  bool ended = false;
};

Fed feed(const std::string& bytes, std::size_t piece) {
  Fed fed;
  CompletionDecoder decoder;
  for (std::size_t begin = 0; begin < bytes.size() && !fed.error; begin += piece) {
    fed.error = decoder.feed(std::string_view(bytes).substr(begin, piece),
                             [&fed](const BackendEvent& event) { fed.events.push_back(event); });
  }
  fed.ended = decoder.ended();
  return fed;
}

TEST_CASE("a stream is decoded however it is cut into pieces", "[engine]") {
  for (const std::size_t piece : {std::size_t{1}, std::size_t{7}, std::size_t{10'000}}) {
    const Fed fed = feed(kAccepted + kTokens + kEnd, piece);
    CHECK_FALSE(fed.error);
    CHECK(fed.ended);
    REQUIRE(fed.events.size() == 3);
    CHECK(std::get<BackendAccepted>(fed.events[0]).cached_tokens == 16);
    CHECK(std::get<BackendPiece>(fed.events[1]).text == "bab dad ");
    CHECK(std::get<BackendEnd>(fed.events[2]).checksum == 0xaa);
  }
}

TEST_CASE("a stream out of order or with bad events is malformed", "[engine]") {
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
  for (const std::string& bytes : bad) CHECK(feed(bytes, 64).error == ErrorCode::Malformed);
}

TEST_CASE("an event beyond the limit is refused", "[engine]") {
  CHECK(feed("data: " + std::string(3 * 1024 * 1024, 'x'), 64 * 1024).error == ErrorCode::TooLarge);
}

}  // namespace
}  // namespace crankspur
