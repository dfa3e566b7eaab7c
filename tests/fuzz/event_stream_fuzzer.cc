/// @file Fuzz target for the event stream parser. The events must not depend on how the stream is chunked.

#include <string>
#include <vector>

#include "fuzz_input.h"
#include "http/client.h"

using namespace crankspur;

namespace {

constexpr std::size_t kMaxEventBytes = 256;

struct Events {
  bool valid = true;
  std::vector<std::string> values;
};

Events parse(std::string_view stream, std::size_t piece_size) {
  Events events;
  http::EventStreamParser parser(kMaxEventBytes);
  const auto collect = [&events](std::string_view event) { events.values.emplace_back(event); };
  while (events.valid && !stream.empty()) {
    const std::string_view piece = stream.substr(0, piece_size);
    events.valid = parser.feed(piece, collect);
    stream.remove_prefix(piece.size());
  }
  return events;
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const std::string_view stream = fuzz::asText(data, size);
  const Events by_byte = parse(stream, 1);
  const Events unsplit = parse(stream, stream.size());
  if (by_byte.valid && unsplit.valid) fuzz::check(by_byte.values == unsplit.values);
  for (const std::string& event : unsplit.values) fuzz::check(event.size() <= kMaxEventBytes);
  return 0;
}
