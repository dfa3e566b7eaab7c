/// @file Fuzz target of the event stream parser: the events do not depend on where the stream is split.

#include <string>
#include <vector>

#include "fuzz_input.h"
#include "http/client.h"

using namespace crankspur;

namespace {

constexpr std::size_t kLimit = 256;

struct Events {
  bool usable = true;
  std::vector<std::string> values;
};

Events parse(std::string_view stream, std::size_t piece_size) {
  Events events;
  http::EventStreamParser parser(kLimit);
  const auto collect = [&events](std::string_view event) { events.values.emplace_back(event); };
  while (events.usable && !stream.empty()) {
    const std::string_view piece = stream.substr(0, piece_size);
    events.usable = parser.feed(piece, collect);
    stream.remove_prefix(piece.size());
  }
  return events;
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const std::string_view stream = fuzz::asText(data, size);
  const Events by_byte = parse(stream, 1);
  const Events whole = parse(stream, stream.size());
  if (by_byte.usable && whole.usable) fuzz::check(by_byte.values == whole.values);
  for (const std::string& event : whole.values) fuzz::check(event.size() <= kLimit);
  return 0;
}
