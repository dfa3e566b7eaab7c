/// @file Fuzz target for engine responses: JSON bodies and completion streams.

#include "engine/completion_decoder.h"
#include "engine/engine_messages.h"
#include "fuzz_input.h"

using namespace crankspur;

namespace {

void decodeBodies(std::string_view json) {
  EngineDescription description;
  decodeDescription(json, description);
  EngineLoadResponse load;
  decodeLoad(json, TimePoint{}, load);
  CacheEventsResponse events;
  decodeCacheEvents(json, events);
  CacheDigestResponse digest;
  decodeCacheDigest(json, digest);
  BackendEvent event;
  decodeStreamEvent(json, event);
  decodeError(json);
  fuzz::check(decodeRetryAfter(json) >= Duration::zero());
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const std::string_view text = fuzz::asText(data, size);
  decodeBodies(text);
  CompletionDecoder decoder;
  std::size_t events = 0;
  decoder.feed(text, [&events](const BackendEvent&) { ++events; });
  if (decoder.ended()) fuzz::check(events >= 2);
  return 0;
}
