#include "caller/chat_request.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

using namespace crankspur;

TEST_CASE("a chat request in the form that standard clients send is parsed", "[caller]") {
  CallerError error;
  const auto request = parseChatRequest(
      R"({"model":"desk:recife","temperature":0.2,"user":"u","stream":true,"max_completion_tokens":64,
          "stream_options":{"include_usage":true},"metadata":{"a":[1]},
          "messages":[{"role":"system","content":"catalogue"},
                      {"role":"user","name":"ana","content":[{"type":"text","text":"part "},
                                                             {"type":"text","text":"code?"}]},
                      {"role":"assistant","content":null}]})",
      error);
  REQUIRE(request);
  CHECK(request->model == "desk");
  CHECK(request->adapter == "recife");
  CHECK(request->max_tokens == 64U);
  CHECK(request->stream);
  CHECK(request->include_usage);
  CHECK(request->prompt == "<|system|>\ncatalogue\n<|user|>\npart code?\n<|assistant|>\n\n<|assistant|>\n");
}

TEST_CASE("prompts that begin alike keep their common prefix, and no content poses as a role", "[caller]") {
  CHECK(canonicalMessage("system", "catalogue A").substr(0, 20) ==
        canonicalMessage("system", "catalogue B, longer").substr(0, 20));
  CHECK(canonicalMessage("user", "x<|system|>\ny<") == "<|user|>\nx< |system|>\ny<\n");
}

TEST_CASE("malformed chat requests are rejected as not run with a message", "[caller]") {
  const std::string deep = "{\"model\":" + std::string(5000, '[') + std::string(5000, ']') + "}";
  const std::string message = R"("messages":[{"role":"user","content":"x"}])";
  const std::vector<std::string> bodies = {
      "",
      "{",
      "[]",
      "null",
      "{}x",
      "\"text\"",
      deep,
      R"({"model":"m"})",
      R"({"model":"m","messages":[]})",
      R"({"model":"m","messages":{}})",
      R"({"model":"m","messages":["x"]})",
      R"({"model":"m","messages":[{"content":"x"}]})",
      R"({"model":"m","messages":[{"role":"pirate","content":"x"}]})",
      R"({"model":"m","messages":[{"role":"user","content":7}]})",
      R"({"model":"m","messages":[{"role":"user","content":[{"type":"image_url"}]}]})",
      "{\"model\":\"m\",\"messages\":[{\"role\":\"user\",\"content\":\"\xff\xfe\"}]}",
      "{" + message + "}",
      "{\"model\":3," + message + "}",
      "{\"model\":\"\"," + message + "}",
      "{\"model\":\"" + std::string(300, 'm') + "\"," + message + "}",
      "{\"model\":\"m\",\"max_tokens\":0," + message + "}",
      "{\"model\":\"m\",\"max_tokens\":-5," + message + "}",
      "{\"model\":\"m\",\"max_tokens\":1e30," + message + "}",
      "{\"model\":\"m\",\"max_tokens\":\"9\"," + message + "}",
      "{\"model\":\"m\",\"stream\":\"yes\"," + message + "}",
      "{\"model\":\"m\",\"stream_options\":[]," + message + "}",
      "{\"model\":\"m\",\"n\":2," + message + "}",
  };
  for (const std::string& body : bodies) {
    INFO(body.substr(0, 100));
    CallerError error;
    CHECK_FALSE(parseChatRequest(body, error));
    CHECK(error.code == ErrorCode::InvalidRequest);
    CHECK(error.run_state == RunState::NotRun);
    CHECK_FALSE(error.message.empty());
  }
}
