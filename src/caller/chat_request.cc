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

/// Sets the error of a request that fails validation.
class ValidationError {
public:
  explicit ValidationError(CallerError& error) : error_(error) {}
  /// Records why the request is rejected.
  /// @return false, for use in return statements.
  bool set(std::string message) {
    error_ = {ErrorCode::InvalidRequest, RunState::NotRun, Duration::zero(), std::move(message)};
    return false;
  }

private:
  CallerError& error_;
};

std::optional<json::value> parseDocument(std::string_view body, ValidationError& validation) {
  json::parse_options options;
  options.max_depth = kMaxJsonDepth;
  json::error_code parse_error;
  json::value document = json::parse(json::string_view(body.data(), body.size()), parse_error, {}, options);
  if (parse_error) {
    validation.set("the body is not valid JSON: " + parse_error.message());
    return std::nullopt;
  }
  return document;
}

bool readFlag(const json::object& object, const char* name, bool& flag, ValidationError& validation) {
  const json::value* value = object.if_contains(name);
  if (value == nullptr || value->is_null()) return true;
  if (!value->is_bool()) return validation.set(fmt::format("{} must be true or false", name));
  flag = value->get_bool();
  return true;
}

bool readModel(const json::object& object, ChatRequest& request, ValidationError& validation) {
  const json::value* value = object.if_contains("model");
  if (value == nullptr || !value->is_string()) return validation.set("model must be a string");
  const std::string name(value->get_string());
  if (name.empty() || name.size() > kMaxModelNameBytes) {
    return validation.set(fmt::format("model must have 1 to {} bytes", kMaxModelNameBytes));
  }
  const std::size_t colon = name.find(':');
  request.model = name.substr(0, colon);
  if (colon != std::string::npos) request.adapter = name.substr(colon + 1);
  return true;
}

bool readMaxTokens(const json::object& object, const char* name, ChatRequest& request,
                   ValidationError& validation) {
  const json::value* value = object.if_contains(name);
  if (value == nullptr || value->is_null()) return true;
  json::error_code parse_error;
  const auto tokens = value->is_number() ? value->to_number<std::uint32_t>(parse_error) : 0U;
  if (parse_error || tokens == 0) return validation.set(fmt::format("{} must be a positive integer", name));
  request.max_tokens = tokens;
  return true;
}

bool readSingleChoice(const json::object& object, ValidationError& validation) {
  const json::value* value = object.if_contains("n");
  if (value == nullptr || value->is_null()) return true;
  const bool single = value->is_int64() && value->get_int64() == 1;
  return single || validation.set("n must be 1: one answer is given to each request");
}

bool readStreamOptions(const json::object& object, ChatRequest& request, ValidationError& validation) {
  const json::value* value = object.if_contains("stream_options");
  if (value == nullptr || value->is_null()) return true;
  if (!value->is_object()) return validation.set("stream_options must be an object");
  return readFlag(value->get_object(), "include_usage", request.include_usage, validation);
}

/// Appends the text of a message's content: a string, null, or an array of text parts.
bool readContent(const json::value* content, std::size_t index, std::string& text,
                 ValidationError& validation) {
  if (content == nullptr || content->is_null()) return true;
  if (content->is_string()) {
    text.append(content->get_string().data(), content->get_string().size());
    return true;
  }
  if (!content->is_array()) return validation.set(fmt::format("messages[{}].content must be text", index));
  for (const json::value& part : content->get_array()) {
    const json::object* fields = part.if_object();
    const json::value* part_text = fields == nullptr ? nullptr : fields->if_contains("text");
    if (part_text == nullptr || !part_text->is_string()) {
      return validation.set(fmt::format("messages[{}].content holds a part that is not text", index));
    }
    text.append(part_text->get_string().data(), part_text->get_string().size());
  }
  return true;
}

bool readMessage(const json::value& message, std::size_t index, std::string& prompt,
                 ValidationError& validation) {
  const json::object* fields = message.if_object();
  if (fields == nullptr) return validation.set(fmt::format("messages[{}] must be an object", index));
  const json::value* role = fields->if_contains("role");
  const std::string_view name = role != nullptr && role->is_string()
                                    ? std::string_view(role->get_string().data(), role->get_string().size())
                                    : std::string_view();
  if (std::find(kRoles.begin(), kRoles.end(), name) == kRoles.end()) {
    return validation.set(fmt::format("messages[{}].role is unknown", index));
  }
  std::string content;
  if (!readContent(fields->if_contains("content"), index, content, validation)) return false;
  prompt += canonicalMessage(name, content);
  return true;
}

bool readMessages(const json::object& object, ChatRequest& request, ValidationError& validation) {
  const json::value* value = object.if_contains("messages");
  if (value == nullptr || !value->is_array()) return validation.set("messages must be an array");
  const json::array& messages = value->get_array();
  if (messages.empty() || messages.size() > kMaxMessages) {
    return validation.set(fmt::format("messages must hold 1 to {} entries", kMaxMessages));
  }
  for (std::size_t index = 0; index < messages.size(); ++index) {
    if (!readMessage(messages[index], index, request.prompt, validation)) return false;
  }
  request.prompt += kAssistantTurn;
  return true;
}

bool readRequest(const json::object& object, ChatRequest& request, ValidationError& validation) {
  return readModel(object, request, validation) && readMaxTokens(object, "max_tokens", request, validation) &&
         readMaxTokens(object, "max_completion_tokens", request, validation) &&
         readSingleChoice(object, validation) && readFlag(object, "stream", request.stream, validation) &&
         readStreamOptions(object, request, validation) && readMessages(object, request, validation);
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
  ValidationError validation(error);
  const std::optional<json::value> document = parseDocument(body, validation);
  if (!document) return std::nullopt;
  if (!document->is_object()) {
    validation.set("the body must be a JSON object");
    return std::nullopt;
  }
  ChatRequest request;
  if (!readRequest(document->get_object(), request, validation)) return std::nullopt;
  return request;
}

bool checkOperationBody(std::string_view body, CallerError& error) {
  ValidationError validation(error);
  return parseDocument(body, validation).has_value();
}

}  // namespace crankspur
