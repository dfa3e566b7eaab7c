#include "caller/chat_response.h"

#include <fmt/format.h>

#include <boost/json.hpp>

namespace crankspur {

namespace {

namespace json = boost::json;

json::string_view view(std::string_view text) {
  return {text.data(), text.size()};
}

json::object usageObject(const TokenUsage& usage) {
  return {{"prompt_tokens", usage.prompt_tokens},
          {"completion_tokens", usage.completion_tokens},
          {"total_tokens", usage.prompt_tokens + usage.completion_tokens},
          {"prompt_tokens_details", json::object{{"cached_tokens", usage.cached_tokens}}}};
}

json::object envelope(const ChatIdentity& identity, std::string_view object) {
  return {{"id", identity.id},
          {"object", view(object)},
          {"created", identity.created},
          {"model", identity.model}};
}

std::string toEvent(const json::object& chunk) {
  return "data: " + json::serialize(chunk) + "\n\n";
}

std::string chunkEvent(const ChatIdentity& identity, json::object delta, json::value finish_reason) {
  json::object chunk = envelope(identity, "chat.completion.chunk");
  json::object choice = {
      {"index", 0}, {"delta", std::move(delta)}, {"finish_reason", std::move(finish_reason)}};
  chunk["choices"] = json::array{std::move(choice)};
  return toEvent(chunk);
}

json::object modelEntry(std::string id) {
  return {{"id", std::move(id)}, {"object", "model"}, {"created", 0}, {"owned_by", "crankspur"}};
}

}  // namespace

std::string roleChunk(const ChatIdentity& identity) {
  return chunkEvent(identity, {{"role", "assistant"}, {"content", ""}}, nullptr);
}

std::string textChunk(const ChatIdentity& identity, std::string_view text) {
  return chunkEvent(identity, {{"content", view(text)}}, nullptr);
}

std::string finishChunk(const ChatIdentity& identity, std::string_view finish_reason) {
  return chunkEvent(identity, {}, json::string(view(finish_reason)));
}

std::string usageChunk(const ChatIdentity& identity, const TokenUsage& usage) {
  json::object chunk = envelope(identity, "chat.completion.chunk");
  chunk["choices"] = json::array{};
  chunk["usage"] = usageObject(usage);
  return toEvent(chunk);
}

std::string chatBody(const ChatIdentity& identity, std::string_view text, std::string_view finish_reason,
                     const TokenUsage& usage) {
  json::object body = envelope(identity, "chat.completion");
  json::object message = {{"role", "assistant"}, {"content", view(text)}};
  json::object choice = {
      {"index", 0}, {"message", std::move(message)}, {"finish_reason", view(finish_reason)}};
  body["choices"] = json::array{std::move(choice)};
  body["usage"] = usageObject(usage);
  return json::serialize(body);
}

std::string modelListBody(const Bundle& bundle, const TenantPolicy& tenant) {
  json::array entries;
  for (const std::string& name : tenant.models) {
    const ModelPolicy* model = bundle.findModel(name);
    if (model == nullptr) continue;
    entries.push_back(modelEntry(name));
    for (const std::string& adapter : model->adapters)
      entries.push_back(modelEntry(fmt::format("{}:{}", name, adapter)));
  }
  return json::serialize(json::object{{"object", "list"}, {"data", std::move(entries)}});
}

std::string operationBody(std::string_view request_id, std::string_view operation, std::string_view result) {
  return json::serialize(json::object{{"id", view(request_id)},
                                      {"object", "operation.result"},
                                      {"operation", view(operation)},
                                      {"result", view(result)},
                                      {"ran", "ran"}});
}

}  // namespace crankspur
