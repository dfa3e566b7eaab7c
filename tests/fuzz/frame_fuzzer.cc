/// @file Fuzz target of the frame decoder: what decodes must encode and decode to the same again.

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
    const DecodedFrame again = decodeFrame(frame);
    fuzz::check(again.message && again.consumed == frame.size());
    fuzz::check(encodeFrame(*again.message) == frame);
    rest.remove_prefix(decoded.consumed);
  }
  return 0;
}
