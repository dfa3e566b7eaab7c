/// @file Fuzz target for the frame decoder. A decoded frame must survive an encode/decode round trip.

#include "fuzz_input.h"
#include "internal_protocol/codec.h"

using namespace crankspur;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  std::string_view rest = fuzz::asText(data, size);
  while (!rest.empty()) {
    const DecodedFrame decoded = decodeFrame(rest);
    fuzz::check(decoded.consumed <= rest.size());
    if (!decoded.message) break;
    fuzz::check(decoded.error == ErrorCode::Ok && decoded.consumed > 0);
    const std::string frame = encodeFrame(*decoded.message);
    const DecodedFrame redecoded = decodeFrame(frame);
    fuzz::check(redecoded.message && redecoded.consumed == frame.size());
    fuzz::check(encodeFrame(*redecoded.message) == frame);
    rest.remove_prefix(decoded.consumed);
  }
  return 0;
}
