/// @file Fuzz target for caller requests. The first line of the input is the request target, the second a
/// header value, the rest the body.

#include "caller/chat_request.h"
#include "caller/request_headers.h"
#include "fuzz_input.h"

using namespace crankspur;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  std::string_view rest = fuzz::asText(data, size);
  http::Request request;
  request.target = std::string(fuzz::takeLine(rest));
  const std::string header(fuzz::takeLine(rest));
  for (const char* name :
       {"Authorization", "Idempotency-Key", "X-Request-Id", "X-Deadline-Ms", "X-Priority"}) {
    request.headers[name] = header;
  }
  request.query("a");
  CallerError error;
  parseCallerHeaders(request, error);
  checkOperationBody(rest, error);
  const std::optional<ChatRequest> chat = parseChatRequest(rest, error);
  if (chat) fuzz::check(!chat->model.empty() && chat->model.size() <= kMaxModelNameBytes);
  return 0;
}
