#include "caller/request_headers.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <string_view>

#include "prefix_index/block_hash.h"

namespace crankspur {

namespace {

constexpr std::string_view kBearerPrefix = "bearer ";

CallerError rejection(ErrorCode code, std::string message) {
  return {code, RunState::NotRun, Duration::zero(), std::move(message)};
}

bool isVisibleAscii(std::string_view text) {
  return std::all_of(text.begin(), text.end(),
                     [](char character) { return character > ' ' && character < 0x7f; });
}

/// Reads an optional header whose value is visible ASCII of limited length.
bool readToken(const http::Request& request, const std::string& name, std::string& value,
               CallerError& error) {
  value = request.header(name);
  if (value.size() <= kMaxHeaderValueBytes && isVisibleAscii(value)) return true;
  error = rejection(ErrorCode::InvalidRequest, fmt::format("{} must have at most {} visible ASCII characters",
                                                           name, kMaxHeaderValueBytes));
  return false;
}

/// Reads an optional header whose value is an integer in [min_value, max_value].
bool readInteger(const http::Request& request, const std::string& name, std::int64_t min_value,
                 std::int64_t max_value, std::optional<std::int64_t>& value, CallerError& error) {
  const std::string text = request.header(name);
  if (text.empty()) return true;
  std::int64_t number = 0;
  const auto [end, parse_error] = std::from_chars(text.data(), text.data() + text.size(), number);
  const bool parsed_completely = parse_error == std::errc() && end == text.data() + text.size();
  if (!parsed_completely || number < min_value || number > max_value) {
    error = rejection(ErrorCode::InvalidRequest,
                      fmt::format("{} must be an integer from {} to {}", name, min_value, max_value));
    return false;
  }
  value = number;
  return true;
}

bool readApiKey(const http::Request& request, std::string& key, CallerError& error) {
  const std::string text = request.header("Authorization");
  if (text.empty()) return true;
  const auto equal_ignoring_case = [](char lower_case, char character) {
    return lower_case == (character >= 'A' && character <= 'Z' ? character + 32 : character);
  };
  const bool has_bearer_prefix =
      text.size() > kBearerPrefix.size() &&
      std::equal(kBearerPrefix.begin(), kBearerPrefix.end(), text.begin(), equal_ignoring_case);
  if (!has_bearer_prefix) {
    error = rejection(ErrorCode::Unauthorized, "Authorization must be: Bearer API_KEY");
    return false;
  }
  key = text.substr(kBearerPrefix.size());
  return true;
}

template <typename Names>
bool contains(const Names& names, const std::string& name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

/// A caller may lower the priority below the tenant's default, but not raise it.
std::uint32_t effectivePriority(const CallerHeaders& headers, const TenantPolicy& tenant) {
  return std::max(headers.priority.value_or(tenant.default_priority), tenant.default_priority);
}

SubmitRequest commonSubmit(const CallerHeaders& headers, const Bundle& bundle, const TenantPolicy& tenant) {
  SubmitRequest submit;
  submit.tenant = tenant.name;
  submit.idempotency_key = headers.idempotency_key;
  submit.priority = effectivePriority(headers, tenant);
  submit.bundle_version = bundle.version;
  return submit;
}

}  // namespace

std::optional<CallerHeaders> parseCallerHeaders(const http::Request& request, CallerError& error) {
  CallerHeaders headers;
  std::optional<std::int64_t> deadline;
  std::optional<std::int64_t> priority;
  const std::int64_t max_deadline_ms = kMaxDeadline.count() / 1000;
  const bool valid = readApiKey(request, headers.api_key, error) &&
                     readToken(request, "Idempotency-Key", headers.idempotency_key, error) &&
                     readToken(request, "X-Request-Id", headers.request_id, error) &&
                     readInteger(request, "X-Deadline-Ms", 1, max_deadline_ms, deadline, error) &&
                     readInteger(request, "X-Priority", 0, kLowestPriority, priority, error);
  if (!valid) return std::nullopt;
  if (deadline) headers.deadline = std::chrono::milliseconds(*deadline);
  if (priority) headers.priority = static_cast<std::uint32_t>(*priority);
  return headers;
}

std::optional<SubmitRequest> buildChatSubmit(const ChatRequest& chat, const CallerHeaders& headers,
                                             const Bundle& bundle, const TenantPolicy& tenant,
                                             CallerError& error) {
  const ModelPolicy* model = contains(tenant.models, chat.model) ? bundle.findModel(chat.model) : nullptr;
  const bool available =
      model != nullptr && (chat.adapter.empty() || contains(model->adapters, chat.adapter));
  if (!available) {
    error = rejection(ErrorCode::UnknownModel, "no such model or adapter is served to this tenant");
    return std::nullopt;
  }
  const std::uint32_t prompt_tokens = countTokens(chat.prompt);
  if (prompt_tokens > model->max_prompt_tokens) {
    error = rejection(ErrorCode::TooLarge, fmt::format("the prompt has {} tokens; the model takes {}",
                                                       prompt_tokens, model->max_prompt_tokens));
    return std::nullopt;
  }
  const std::uint32_t max_tokens = chat.max_tokens.value_or(model->max_answer_tokens);
  if (max_tokens > model->max_answer_tokens) {
    error = rejection(ErrorCode::InvalidRequest, fmt::format("max_tokens is {}; the model gives at most {}",
                                                             max_tokens, model->max_answer_tokens));
    return std::nullopt;
  }
  SubmitRequest submit = commonSubmit(headers, bundle, tenant);
  submit.kind = RequestKind::Completion;
  submit.model = chat.model;
  submit.adapter = chat.adapter;
  submit.prompt = chat.prompt;
  submit.max_tokens = max_tokens;
  return submit;
}

std::optional<SubmitRequest> buildOperationSubmit(const std::string& operation, const std::string& body,
                                                  const CallerHeaders& headers, const Bundle& bundle,
                                                  const TenantPolicy& tenant, CallerError& error) {
  const bool allowed = contains(tenant.operations, operation);
  const OperationPolicy* policy = allowed ? bundle.findOperation(operation) : nullptr;
  if (policy == nullptr) {
    error = rejection(ErrorCode::UnknownModel, "no such operation is served to this tenant");
    return std::nullopt;
  }
  if (!policy->repeatable && headers.idempotency_key.empty()) {
    error = rejection(ErrorCode::InvalidRequest, "this operation needs an Idempotency-Key header");
    return std::nullopt;
  }
  if (!checkOperationBody(body, error)) return std::nullopt;
  SubmitRequest submit = commonSubmit(headers, bundle, tenant);
  submit.kind = RequestKind::Application;
  submit.operation = operation;
  submit.repeatable = policy->repeatable;
  submit.prompt = body;
  return submit;
}

}  // namespace crankspur
