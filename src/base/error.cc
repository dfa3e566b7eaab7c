#include "base/error.h"

namespace crankspur {

const char* errorName(ErrorCode code) {
  switch (code) {
    case ErrorCode::Ok:
      return "ok";
    case ErrorCode::InvalidRequest:
      return "invalid_request";
    case ErrorCode::Unauthorized:
      return "unauthorized";
    case ErrorCode::UnknownModel:
      return "unknown_model";
    case ErrorCode::TooLarge:
      return "too_large";
    case ErrorCode::Overloaded:
      return "overloaded";
    case ErrorCode::RateLimited:
      return "rate_limited";
    case ErrorCode::DeadlineExceeded:
      return "deadline_exceeded";
    case ErrorCode::EngineUnavailable:
      return "engine_unavailable";
    case ErrorCode::EngineLost:
      return "engine_lost";
    case ErrorCode::RouterUnavailable:
      return "router_unavailable";
    case ErrorCode::IncarnationMismatch:
      return "incarnation_mismatch";
    case ErrorCode::WeightsMismatch:
      return "weights_mismatch";
    case ErrorCode::DuplicateRequest:
      return "duplicate_request";
    case ErrorCode::ClaimUnavailable:
      return "claim_unavailable";
    case ErrorCode::StaleBundle:
      return "stale_bundle";
    case ErrorCode::NotReady:
      return "not_ready";
    case ErrorCode::Stopping:
      return "stopping";
    case ErrorCode::Cancelled:
      return "cancelled";
    case ErrorCode::VersionMismatch:
      return "version_mismatch";
    case ErrorCode::Malformed:
      return "malformed";
    case ErrorCode::SignatureInvalid:
      return "signature_invalid";
    case ErrorCode::Conflict:
      return "conflict";
    case ErrorCode::Unavailable:
      return "unavailable";
    case ErrorCode::Stale:
      return "stale";
    case ErrorCode::Internal:
      return "internal";
  }
  return "internal";
}

std::optional<ErrorCode> errorFromName(std::string_view name) {
  for (int value = 0; value <= static_cast<int>(ErrorCode::Internal); ++value) {
    const auto code = static_cast<ErrorCode>(value);
    if (name == errorName(code)) return code;
  }
  return std::nullopt;
}

namespace {

class Category : public std::error_category {
public:
  const char* name() const noexcept override { return "crankspur"; }
  std::string message(int value) const override { return errorName(static_cast<ErrorCode>(value)); }
};

}  // namespace

const std::error_category& errorCategory() {
  static const Category category;
  return category;
}

}  // namespace crankspur
