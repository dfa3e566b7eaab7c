#include "caller/chat_request.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <boost/json.hpp>
#include <limits>

namespace crankspur {

namespace {

namespace json = boost::json;

constexpr std::array<std::string_view, 6> kRoles = {"system",    "developer", "user",
                                                    "assistant", "tool",      "function"};

/// Collects the first problem found.
class Problem {
public:
  explicit Problem(CallerError& error) : error_(error) {}
  /// Records why the request is refused. @return false, for use in return statements.
  bool set(std::string message) {
    error_ = {ErrorCode::InvalidRequest, RunState::NotRun, Duration::zero(), std::move(message)};
    return false;
  }

private:
  CallerError& error_;
};

std::optional<json::value> parseDocument(std::string_view body, Problem& problem) {
  json::parse_options options;
  options.max_depth = kMaximumJsonDepth;
  json::error_code failure;
  json::value document = json::parse(json::string_view(body.data(), body.size()), failure, {}, options);
  if (failure) {
    problem.set("the body is not valid JSON: " + failure.message());
    return std::nullopt;
  }
  return document;
}

bool readFlag(const json::object& object, const char* name, bool& flag, Problem& problem) {
  const json::value* value = object.if_contains(name);
  if (value == nullptr || value->is_null()) return true;
  if (!value->is_bool()) return problem.set(fmt::format("{} must be true or false", name));
  flag = value->get_bool();
  return true;
}

bool readModel(const json::object& object, ChatRequest& request, Problem& problem) {
  const json::value* value = object.if_contains("model");
  if (value == nullptr || !value->is_string()) return problem.set("model must be a string");
  const std::string name(value->get_string());
  if (name.empty() || name.size() > kMaximumModelNameBytes) {
    return problem.set(fmt::format("model must have 1 to {} bytes", kMaximumModelNameBytes));
  }
  const std::size_t colon = name.find(':');
  request.model = name.substr(0, colon);
  if (colon != std::string::npos) request.adapter = name.substr(colon + 1);
  return true;
}

bool readMaximumTokens(const json::object& object, const char* name, ChatRequest& request, Problem& problem) {
  const json::value* value = object.if_contains(name);
  if (value == nullptr || value->is_null()) return true;
  json::error_code failure;
  const auto tokens = value->is_number() ? value->to_number<std::uint32_t>(failure) : 0U;
  if (failure || tokens == 0) return problem.set(fmt::format("{} must be a positive integer", name));
  request.max_tokens = tokens;
  return true;
}

bool readSingleChoice(const json::object& object, Problem& problem) {
  const json::value* value = object.if_contains("n");
  if (value == nullptr || value->is_null()) return true;
  const bool one = value->is_int64() && value->get_int64() == 1;
  return one || problem.set("n must be 1: one answer is given to each request");
}

bool readStreamOptions(const json::object& object, ChatRequest& request, Problem& problem) {
  const json::value* value = object.if_contains("stream_options");
  if (value == nullptr || value->is_null()) return true;
  if (!value->is_object()) return problem.set("stream_options must be an object");
  return readFlag(value->get_object(), "include_usage", request.include_usage, problem);
}

/// Appends the text of a content: a string, null, or an array of text parts.
bool readContent(const json::value* content, std::size_t index, std::string& text, Problem& problem) {
  if (content == nullptr || content->is_null()) return true;
  if (content->is_string()) {
    text.append(content->get_string().data(), content->get_string().size());
    return true;
  }
  if (!content->is_array()) return problem.set(fmt::format("messages[{}].content must be text", index));
  for (const json::value& part : content->get_array()) {
    const json::object* fields = part.if_object();
    const json::value* part_text = fields == nullptr ? nullptr : fields->if_contains("text");
    if (part_text == nullptr || !part_text->is_string()) {
      return problem.set(fmt::format("messages[{}].content holds a part that is not text", index));
    }
    text.append(part_text->get_string().data(), part_text->get_string().size());
  }
  return true;
}

bool readMessage(const json::value& message, std::size_t index, std::string& prompt, Problem& problem) {
  const json::object* fields = message.if_object();
  if (fields == nullptr) return problem.set(fmt::format("messages[{}] must be an object", index));
  const json::value* role = fields->if_contains("role");
  const std::string_view name = role != nullptr && role->is_string()
                                    ? std::string_view(role->get_string().data(), role->get_string().size())
                                    : std::string_view();
  if (std::find(kRoles.begin(), kRoles.end(), name) == kRoles.end()) {
    return problem.set(fmt::format("messages[{}].role is unknown", index));
  }
  std::string content;
  if (!readContent(fields->if_contains("content"), index, content, problem)) return false;
  prompt += canonicalMessage(name, content);
  return true;
}

bool readMessages(const json::object& object, ChatRequest& request, Problem& problem) {
  const json::value* value = object.if_contains("messages");
  if (value == nullptr || !value->is_array()) return problem.set("messages must be an array");
  const json::array& messages = value->get_array();
  if (messages.empty() || messages.size() > kMaximumMessages) {
    return problem.set(fmt::format("messages must hold 1 to {} entries", kMaximumMessages));
  }
  for (std::size_t index = 0; index < messages.size(); ++index) {
    if (!readMessage(messages[index], index, request.prompt, problem)) return false;
  }
  request.prompt += kAssistantTurn;
  return true;
}

bool readRequest(const json::object& object, ChatRequest& request, Problem& problem) {
  return readModel(object, request, problem) && readMaximumTokens(object, "max_tokens", request, problem) &&
         readMaximumTokens(object, "max_completion_tokens", request, problem) &&
         readSingleChoice(object, problem) && readFlag(object, "stream", request.stream, problem) &&
         readStreamOptions(object, request, problem) && readMessages(object, request, problem);
}

}  // namespace

std::string canonicalMessage(std::string_view role, std::string_view content) {
  std::string text = fmt::format("<|{}|>\n", role);
  text.reserve(text.size() + content.size() + 1);
  for (std::size_t marker = content.find("<|"); marker != std::string_view::npos;
       marker = content.find("<|")) {
    text += content.substr(0, marker);
    text += "< ";
    content.remove_prefix(marker + 1);
  }
  text += content;
  text += '\n';
  return text;
}

std::optional<ChatRequest> parseChatRequest(std::string_view body, CallerError& error) {
  Problem problem(error);
  const std::optional<json::value> document = parseDocument(body, problem);
  if (!document) return std::nullopt;
  if (!document->is_object()) {
    problem.set("the body must be a JSON object");
    return std::nullopt;
  }
  ChatRequest request;
  if (!readRequest(document->get_object(), request, problem)) return std::nullopt;
  return request;
}

bool checkOperationBody(std::string_view body, CallerError& error) {
  Problem problem(error);
  return parseDocument(body, problem).has_value();
}

}  // namespace crankspur
