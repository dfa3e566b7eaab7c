#include "internal_protocol/codec.h"

#include <catch2/catch.hpp>

#include "example_messages.h"

using namespace crankspur;

TEST_CASE("every message survives encoding and decoding unchanged", "[internal_protocol]") {
  const std::vector<Message> messages = exampleMessages();
  REQUIRE(messages.size() == std::variant_size_v<Message>);
  for (std::size_t index = 0; index < messages.size(); ++index) {
    INFO("kind " << index + 1);
    REQUIRE(messages[index].index() == index);
    const std::string frame = encodeFrame(messages[index]);
    const DecodedFrame decoded = decodeFrame(frame + "next");
    REQUIRE(decoded.error == ErrorCode::Ok);
    REQUIRE(decoded.message.has_value());
    CHECK(decoded.consumed == frame.size());
    CHECK(describe(*decoded.message) == describe(messages[index]));
  }
}

TEST_CASE("an incomplete frame needs more bytes", "[internal_protocol]") {
  for (const Message& message : exampleMessages()) {
    const std::string frame = encodeFrame(message);
    for (std::size_t length = 0; length < frame.size(); ++length) {
      const DecodedFrame decoded = decodeFrame(std::string_view(frame).substr(0, length));
      CHECK(decoded.error == ErrorCode::Ok);
      CHECK_FALSE(decoded.message.has_value());
      CHECK(decoded.consumed == 0);
    }
  }
}

TEST_CASE("a length above the limit is rejected before the body is received", "[internal_protocol]") {
  CHECK(decodeFrame(std::string("\x00\x80\x00\x01", 4)).error == ErrorCode::TooLarge);
  CHECK(decodeFrame(std::string("\x00\x80\x00\x00", 4)).error == ErrorCode::Ok);
}

TEST_CASE("an unknown kind, a corrupted body and an unknown enumeration value are malformed",
          "[internal_protocol]") {
  CHECK(decodeFrame(std::string("\0\0\0\0\0", 5)).error == ErrorCode::Malformed);
  CHECK(decodeFrame(std::string("\0\0\0\0\xff", 5)).error == ErrorCode::Malformed);
  // A Cancel whose text has a length of 127 and one byte of content.
  CHECK(decodeFrame(std::string("\0\0\0\3\7\x0a\x7f"
                                "a",
                                8))
            .error == ErrorCode::Malformed);
  Refusal refusal;
  refusal.code = static_cast<ErrorCode>(static_cast<int>(kLastErrorCode) + 1);
  CHECK(decodeFrame(encodeFrame(refusal)).error == ErrorCode::Malformed);
  refusal.code = ErrorCode::Internal;
  refusal.run_state = static_cast<RunState>(3);
  CHECK(decodeFrame(encodeFrame(refusal)).error == ErrorCode::Malformed);
}

TEST_CASE("too many records and excessive durations are malformed", "[internal_protocol]") {
  Ping ping;
  ping.members.resize(8192);
  CHECK(decodeFrame(encodeFrame(ping)).error == ErrorCode::Ok);
  ping.members.resize(8193);
  CHECK(decodeFrame(encodeFrame(ping)).error == ErrorCode::Malformed);
  SubmitRequest request;
  request.deadline = Duration::max();
  CHECK(decodeFrame(encodeFrame(request)).error == ErrorCode::Malformed);
}

TEST_CASE("a corrupted frame never consumes more bytes than it has", "[internal_protocol]") {
  for (const Message& message : exampleMessages()) {
    const std::string frame = encodeFrame(message);
    for (std::size_t index = 0; index < frame.size(); ++index) {
      for (const char mask : {'\x01', '\x40', '\x80', '\xff'}) {
        std::string corrupted = frame;
        corrupted[index] = static_cast<char>(corrupted[index] ^ mask);
        CHECK(decodeFrame(corrupted).consumed <= corrupted.size());
      }
    }
  }
}
