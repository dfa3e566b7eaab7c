#include "router/request_checks.h"

#include <algorithm>

#include "prefix_index/block_hash.h"

namespace crankspur {

namespace {

bool contains(const std::vector<std::string>& names, const std::string& name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

std::optional<RequestError> checkResume(const SubmitRequest& request) {
  if (request.resume_offset == 0) return std::nullopt;
  if (request.resume_weights.empty() || request.resume_text.empty()) {
    return RequestError{ErrorCode::InvalidRequest,
                        "a resumption needs the text so far and its weights version"};
  }
  return std::nullopt;
}

std::optional<RequestError> checkCompletion(const SubmitRequest& request, const TenantPolicy& tenant,
                                            const Bundle& bundle) {
  const ModelPolicy* model = bundle.findModel(request.model);
  if (model == nullptr || !contains(tenant.models, request.model)) {
    return RequestError{ErrorCode::UnknownModel, "the tenant may not use model " + request.model};
  }
  if (!request.adapter.empty() && !contains(model->adapters, request.adapter)) {
    return RequestError{ErrorCode::UnknownModel, "the model has no adapter " + request.adapter};
  }
  if (!request.repeatable) {
    return RequestError{ErrorCode::InvalidRequest, "a completion is always repeatable"};
  }
  if (countTokens(request.prompt) > model->max_prompt_tokens) {
    return RequestError{ErrorCode::TooLarge, "the prompt exceeds the model's limit"};
  }
  if (request.max_tokens > model->max_answer_tokens) {
    return RequestError{ErrorCode::InvalidRequest, "max_tokens exceeds the model's limit"};
  }
  return checkResume(request);
}

std::optional<RequestError> checkOperation(const SubmitRequest& request, const TenantPolicy& tenant,
                                           const Bundle& bundle) {
  if (bundle.findOperation(request.operation) == nullptr || !contains(tenant.operations, request.operation)) {
    return RequestError{ErrorCode::UnknownModel, "the tenant may not use operation " + request.operation};
  }
  if (needsClaim(request, bundle) && request.idempotency_key.empty()) {
    return RequestError{ErrorCode::InvalidRequest,
                        "an operation that may not be repeated needs an idempotency key"};
  }
  return std::nullopt;
}

}  // namespace

std::optional<RequestError> checkRequest(const SubmitRequest& request, const Bundle& bundle) {
  if (request.request_id.empty() || request.attempt == 0) {
    return RequestError{ErrorCode::InvalidRequest, "request id and attempt are needed"};
  }
  const TenantPolicy* tenant = bundle.findTenant(request.tenant);
  if (tenant == nullptr) return RequestError{ErrorCode::Unauthorized, "the bundle has no such tenant"};
  if (request.kind == RequestKind::Application) return checkOperation(request, *tenant, bundle);
  return checkCompletion(request, *tenant, bundle);
}

bool needsClaim(const SubmitRequest& request, const Bundle& bundle) {
  if (request.kind != RequestKind::Application) return false;
  const OperationPolicy* operation = bundle.findOperation(request.operation);
  return !request.repeatable || operation == nullptr || !operation->repeatable;
}

}  // namespace crankspur
