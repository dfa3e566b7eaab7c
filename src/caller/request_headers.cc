#include "caller/request_headers.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <string_view>

#include "prefix_index/block_hash.h"

namespace crankspur {

namespace {

constexpr std::string_view kBearer = "bearer ";

CallerError refuse(ErrorCode code, std::string message) {
  return {code, RunState::NotRun, Duration::zero(), std::move(message)};
}

bool visibleAscii(std::string_view text) {
  return std::all_of(text.begin(), text.end(),
                     [](char character) { return character > ' ' && character < 0x7f; });
}

/// Reads an optional header of bounded visible ASCII.
bool readToken(const http::Request& request, const std::string& name, std::string& value,
               CallerError& error) {
  value = request.header(name);
  if (value.size() <= kMaximumHeaderValueBytes && visibleAscii(value)) return true;
  error = refuse(ErrorCode::InvalidRequest, fmt::format("{} must have at most {} visible ASCII characters",
                                                        name, kMaximumHeaderValueBytes));
  return false;
}

/// Reads an optional header that holds an integer in [lowest, highest].
bool readInteger(const http::Request& request, const std::string& name, std::int64_t lowest,
                 std::int64_t highest, std::optional<std::int64_t>& value, CallerError& error) {
  const std::string text = request.header(name);
  if (text.empty()) return true;
  std::int64_t number = 0;
  const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), number);
  const bool whole = failure == std::errc() && end == text.data() + text.size();
  if (!whole || number < lowest || number > highest) {
    error = refuse(ErrorCode::InvalidRequest,
                   fmt::format("{} must be an integer from {} to {}", name, lowest, highest));
    return false;
  }
  value = number;
  return true;
}

bool readApiKey(const http::Request& request, std::string& key, CallerError& error) {
  const std::string text = request.header("Authorization");
  if (text.empty()) return true;
  const auto same = [](char left, char right) {
    return left == (right >= 'A' && right <= 'Z' ? right + 32 : right);
  };
  const bool bearer =
      text.size() > kBearer.size() && std::equal(kBearer.begin(), kBearer.end(), text.begin(), same);
  if (!bearer) {
    error = refuse(ErrorCode::Unauthorized, "Authorization must be: Bearer API_KEY");
    return false;
  }
  key = text.substr(kBearer.size());
  return true;
}

template <typename Names>
bool contains(const Names& names, const std::string& name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

/// A caller may make its work less urgent than the tenant's default, never more.
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
  const std::int64_t longest = kLongestDeadline.count() / 1000;
  const bool good = readApiKey(request, headers.api_key, error) &&
                    readToken(request, "Idempotency-Key", headers.idempotency_key, error) &&
                    readToken(request, "X-Request-Id", headers.request_id, error) &&
                    readInteger(request, "X-Deadline-Ms", 1, longest, deadline, error) &&
                    readInteger(request, "X-Priority", 0, kLeastUrgentPriority, priority, error);
  if (!good) return std::nullopt;
  if (deadline) headers.deadline = std::chrono::milliseconds(*deadline);
  if (priority) headers.priority = static_cast<std::uint32_t>(*priority);
  return headers;
}

std::optional<SubmitRequest> admitChat(const ChatRequest& chat, const CallerHeaders& headers,
                                       const Bundle& bundle, const TenantPolicy& tenant, CallerError& error) {
  const ModelPolicy* model = contains(tenant.models, chat.model) ? bundle.findModel(chat.model) : nullptr;
  const bool served = model != nullptr && (chat.adapter.empty() || contains(model->adapters, chat.adapter));
  if (!served) {
    error = refuse(ErrorCode::UnknownModel, "no such model or adapter is served to this tenant");
    return std::nullopt;
  }
  const std::uint32_t prompt_tokens = countTokens(chat.prompt);
  if (prompt_tokens > model->max_prompt_tokens) {
    error = refuse(ErrorCode::TooLarge, fmt::format("the prompt has {} tokens; the model takes {}",
                                                    prompt_tokens, model->max_prompt_tokens));
    return std::nullopt;
  }
  const std::uint32_t max_tokens = chat.max_tokens.value_or(model->max_answer_tokens);
  if (max_tokens > model->max_answer_tokens) {
    error = refuse(ErrorCode::InvalidRequest, fmt::format("max_tokens is {}; the model gives at most {}",
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

std::optional<SubmitRequest> admitOperation(const std::string& operation, const std::string& body,
                                            const CallerHeaders& headers, const Bundle& bundle,
                                            const TenantPolicy& tenant, CallerError& error) {
  const bool allowed = contains(tenant.operations, operation);
  const OperationPolicy* policy = allowed ? bundle.findOperation(operation) : nullptr;
  if (policy == nullptr) {
    error = refuse(ErrorCode::UnknownModel, "no such operation is served to this tenant");
    return std::nullopt;
  }
  if (!policy->repeatable && headers.idempotency_key.empty()) {
    error = refuse(ErrorCode::InvalidRequest, "this operation needs an Idempotency-Key header");
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
