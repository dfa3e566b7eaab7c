#include "internal_protocol/codec.h"

#include <array>
#include <utility>

#include "internal_protocol/field_mapping.h"

namespace crankspur {

namespace {

constexpr std::size_t kLengthBytes = 4;
constexpr std::size_t kHeaderBytes = kLengthBytes + 1;
constexpr std::size_t kMessageKinds = std::variant_size_v<Message>;

bool appendBytes(pb_ostream_t* stream, const pb_byte_t* bytes, std::size_t count) {
  static_cast<std::string*>(stream->state)->append(reinterpret_cast<const char*>(bytes), count);
  return true;
}

void writeHeader(std::string& frame, std::size_t kind) {
  const auto length = static_cast<std::uint32_t>(frame.size() - kHeaderBytes);
  for (std::size_t index = 0; index < kLengthBytes; ++index) {
    const auto shift = 8 * (kLengthBytes - 1 - index);
    frame[index] = static_cast<char>((length >> shift) & 0xff);
  }
  frame[kLengthBytes] = static_cast<char>(kind);
}

std::uint32_t readLength(std::string_view bytes) {
  std::uint32_t length = 0;
  for (std::size_t index = 0; index < kLengthBytes; ++index) {
    length = (length << 8) | static_cast<unsigned char>(bytes[index]);
  }
  return length;
}

using BodyDecoder = bool (*)(pb_istream_t*, std::optional<Message>&);

template <std::size_t Index>
bool decodeAlternative(pb_istream_t* stream, std::optional<Message>& message) {
  message.emplace(std::in_place_index<Index>);
  return wire::decodeBody(stream, std::get<Index>(*message));
}

template <std::size_t... Indexes>
constexpr std::array<BodyDecoder, kMessageKinds> makeBodyDecoders(std::index_sequence<Indexes...>) {
  return {&decodeAlternative<Indexes>...};
}

constexpr std::array<BodyDecoder, kMessageKinds> kBodyDecoders =
    makeBodyDecoders(std::make_index_sequence<kMessageKinds>());

}  // namespace

std::string encodeFrame(const Message& message) {
  std::string frame(kHeaderBytes, '\0');
  pb_ostream_t stream = PB_OSTREAM_SIZING;
  stream.callback = &appendBytes;
  stream.state = &frame;
  stream.max_size = SIZE_MAX;
  std::visit([&stream](const auto& plain) { wire::encodeBody(&stream, plain); }, message);
  writeHeader(frame, message.index() + 1);
  return frame;
}

DecodedFrame decodeFrame(std::string_view bytes) {
  DecodedFrame decoded;
  if (bytes.size() < kLengthBytes) return decoded;
  const std::uint32_t length = readLength(bytes);
  if (length > kMaxFrameBytes) {
    decoded.error = ErrorCode::TooLarge;
    return decoded;
  }
  if (bytes.size() < kHeaderBytes) return decoded;
  const std::size_t kind = static_cast<unsigned char>(bytes[kLengthBytes]);
  if (kind == 0 || kind > kMessageKinds) {
    decoded.error = ErrorCode::Malformed;
    return decoded;
  }
  if (bytes.size() < kHeaderBytes + length) return decoded;
  const auto* body = reinterpret_cast<const pb_byte_t*>(bytes.data() + kHeaderBytes);
  pb_istream_t stream = pb_istream_from_buffer(body, length);
  if (kBodyDecoders[kind - 1](&stream, decoded.message)) {
    decoded.consumed = kHeaderBytes + length;
  } else {
    decoded.message.reset();
    decoded.error = ErrorCode::Malformed;
  }
  return decoded;
}

}  // namespace crankspur
