#include "caller/request_headers.h"

#include <boost/json.hpp>
#include <catch2/catch.hpp>

#include "caller/chat_response.h"

using namespace crankspur;

namespace {

Bundle makeBundle() {
  Bundle value;
  value.version = 7;
  TenantPolicy tenant;
  tenant.name = "recife";
  tenant.default_priority = 2;
  tenant.models = {"desk"};
  tenant.operations = {"order", "stock"};
  value.tenants = {tenant};
  ModelPolicy model;
  model.name = "desk";
  model.adapters = {"hull"};
  model.max_prompt_tokens = 100;
  model.max_answer_tokens = 50;
  ModelPolicy other = model;
  other.name = "ranger";
  value.models = {model, other};
  OperationPolicy order;
  order.name = "order";
  OperationPolicy stock;
  stock.name = "stock";
  stock.repeatable = true;
  value.operations = {order, stock};
  return value;
}

http::Request requestWithHeader(const std::string& name, const std::string& value) {
  http::Request request;
  request.headers[name] = value;
  return request;
}

ChatRequest chatRequest(const std::string& model, const std::string& adapter = "") {
  ChatRequest request;
  request.model = model;
  request.adapter = adapter;
  request.prompt = "prompt";
  return request;
}

}  // namespace

TEST_CASE("valid headers are parsed, and the error of an invalid one names the header", "[caller]") {
  CallerError error;
  http::Request request = requestWithHeader("authorization", "bearer abc");
  request.headers["idempotency-key"] = "order-7";
  request.headers["x-deadline-ms"] = "1500";
  const auto headers = parseCallerHeaders(request, error);
  REQUIRE(headers);
  CHECK(headers->api_key == "abc");
  CHECK(headers->idempotency_key == "order-7");
  CHECK(headers->deadline == Duration(1'500'000));
  CHECK_FALSE(headers->priority);

  const std::vector<std::pair<std::string, std::string>> invalid = {
      {"X-Deadline-Ms", "0"},          {"X-Deadline-Ms", "-1"},
      {"X-Deadline-Ms", "12x"},        {"X-Deadline-Ms", "99999999999999999999"},
      {"X-Deadline-Ms", "3600001"},    {"X-Priority", "10"},
      {"X-Priority", "high"},          {"Idempotency-Key", std::string(129, 'k')},
      {"Idempotency-Key", "a b"},      {"Idempotency-Key", "a\x01"},
      {"X-Request-Id", "caf\xc3\xa9"}, {"Authorization", "Basic abc"},
      {"Authorization", "Bearer "},
  };
  for (const auto& [name, value] : invalid) {
    INFO(name << "=" << value);
    CallerError invalid_error;
    CHECK_FALSE(parseCallerHeaders(requestWithHeader(name, value), invalid_error));
    CHECK(invalid_error.message.find(name) != std::string::npos);
    CHECK(invalid_error.run_state == RunState::NotRun);
  }
}

TEST_CASE("a tenant may use only its models, within their token limits", "[caller]") {
  const Bundle current_bundle = makeBundle();
  const TenantPolicy& tenant = current_bundle.tenants[0];
  CallerError error;
  const auto submit = buildChatSubmit(chatRequest("desk", "hull"), {}, current_bundle, tenant, error);
  REQUIRE(submit);
  CHECK(submit->max_tokens == 50);
  CHECK(submit->bundle_version == 7);
  CHECK(submit->tenant == "recife");

  CHECK_FALSE(buildChatSubmit(chatRequest("ranger"), {}, current_bundle, tenant, error));
  CHECK(error.code == ErrorCode::UnknownModel);
  CHECK_FALSE(buildChatSubmit(chatRequest("desk", "nope"), {}, current_bundle, tenant, error));
  CHECK(error.code == ErrorCode::UnknownModel);
  ChatRequest long_prompt = chatRequest("desk");
  long_prompt.prompt = std::string(500, 'p');
  CHECK_FALSE(buildChatSubmit(long_prompt, {}, current_bundle, tenant, error));
  CHECK(error.code == ErrorCode::TooLarge);
  ChatRequest too_many_tokens = chatRequest("desk");
  too_many_tokens.max_tokens = 51;
  CHECK_FALSE(buildChatSubmit(too_many_tokens, {}, current_bundle, tenant, error));
  CHECK(error.code == ErrorCode::InvalidRequest);
}

TEST_CASE("a caller cannot raise its priority above the tenant's default", "[caller]") {
  const Bundle current_bundle = makeBundle();
  CallerError error;
  CallerHeaders headers;
  headers.priority = 0;
  CHECK(buildChatSubmit(chatRequest("desk"), headers, current_bundle, current_bundle.tenants[0], error)
            ->priority == 2);
  headers.priority = 5;
  CHECK(buildChatSubmit(chatRequest("desk"), headers, current_bundle, current_bundle.tenants[0], error)
            ->priority == 5);
}

TEST_CASE("an operation that may not be repeated needs a key", "[caller]") {
  const Bundle current_bundle = makeBundle();
  CallerError error;
  CHECK_FALSE(buildOperationSubmit("order", "{}", {}, current_bundle, current_bundle.tenants[0], error));
  CHECK(error.code == ErrorCode::InvalidRequest);
  CallerHeaders headers;
  headers.idempotency_key = "k";
  const auto submit =
      buildOperationSubmit("order", "{}", headers, current_bundle, current_bundle.tenants[0], error);
  REQUIRE(submit);
  CHECK_FALSE(submit->repeatable);
  CHECK(submit->idempotency_key == "k");
  CHECK(
      buildOperationSubmit("stock", "{}", {}, current_bundle, current_bundle.tenants[0], error)->repeatable);
  CHECK_FALSE(
      buildOperationSubmit("order", "not json", headers, current_bundle, current_bundle.tenants[0], error));
  CHECK_FALSE(
      buildOperationSubmit("booking", "{}", headers, current_bundle, current_bundle.tenants[0], error));
}

TEST_CASE("an error response has status, code, run state and retry delay", "[caller]") {
  const CallerError error{ErrorCode::Overloaded, RunState::NotRun, std::chrono::milliseconds(1500),
                          "busy \"now\""};
  const http::Response response = makeErrorResponse(error);
  CHECK(response.status == 503);
  CHECK(response.headers.at("retry-after") == "2");
  CHECK(response.headers.at("x-should-retry") == "true");
  const auto detail = boost::json::parse(response.body).at("error");
  CHECK(detail.at("code") == "overloaded");
  CHECK(detail.at("ran") == "not_run");
  CHECK(detail.at("message") == "busy \"now\"");
  const http::Response unknown = makeErrorResponse({ErrorCode::RouterUnavailable, RunState::Unknown, {}, ""});
  CHECK(unknown.headers.at("x-should-retry") == "false");
}

TEST_CASE("a stream event is a single line of JSON even if the text has line breaks", "[caller]") {
  const ChatIdentity identity{"chatcmpl-1", 5, "desk"};
  const std::string event = textChunk(identity, "a\n\ndata: [DONE]\"");
  CHECK(event.find('\n') == event.size() - 2);
  const auto chunk = boost::json::parse(event.substr(6));
  CHECK(chunk.at("object") == "chat.completion.chunk");
  CHECK(chunk.at("choices").at(0).at("delta").at("content") == "a\n\ndata: [DONE]\"");
  const auto usage = boost::json::parse(chatBody(identity, "t", "stop", {10, 3, 8})).at("usage");
  CHECK(usage.at("total_tokens") == 13);
  CHECK(usage.at("prompt_tokens_details").at("cached_tokens") == 8);
}

TEST_CASE("the model list has only models and adapters of the tenant", "[caller]") {
  const Bundle current_bundle = makeBundle();
  const auto list =
      boost::json::parse(modelListBody(current_bundle, current_bundle.tenants[0])).at("data").as_array();
  REQUIRE(list.size() == 2);
  CHECK(list[0].at("id") == "desk");
  CHECK(list[1].at("id") == "desk:hull");
}
