#include "tools/load/load_call.h"

#include <fmt/format.h>

#include <boost/json.hpp>
#include <utility>

#include "base/hash.h"
#include "standins/engine/completion_text.h"

namespace crankspur::load {

namespace {

namespace json = boost::json;

constexpr Duration kIdleTimeout = std::chrono::seconds(60);

/// @return the string field `name`, or an empty string.
std::string stringField(const json::object& object, const char* name) {
  const json::value* value = object.if_contains(name);
  return value != nullptr && value->is_string() ? std::string(value->get_string()) : std::string();
}

std::uint64_t integerField(const json::object& object, const char* name) {
  const json::value* value = object.if_contains(name);
  json::error_code conversion_error;
  return value == nullptr ? 0 : value->to_number<std::uint64_t>(conversion_error);
}

/// A request in flight.
class LoadCall : public std::enable_shared_from_this<LoadCall> {
public:
  LoadCall(TargetKind kind, const PlannedRequest& request, TimePoint planned_start, OutcomeCallback done)
      : kind_(kind), planned_start_(planned_start), done_(std::move(done)) {
    outcome_.tenant = request.tenant;
    outcome_.target = kind;
    expected_ = standin::expectedCompletion(request.model, request.weights_version, request.adapter,
                                            request.prompt(), request.max_tokens);
  }

  void start(http::Client& client, const std::string& address, http::Request request) {
    const auto self = shared_from_this();
    http::ExchangeCallbacks callbacks;
    callbacks.on_headers = [self](int status, const http::Headers& headers, http::BodyFraming) {
      self->onHeaders(status, headers);
    };
    callbacks.on_data = [self](std::string_view bytes) { self->onData(bytes); };
    callbacks.on_done = [self](std::error_code error, http::SendState, const http::Response&) {
      self->onDone(error);
    };
    http::ExchangeOptions options;
    options.idle_timeout = kIdleTimeout;
    client.start(address, std::move(request), std::move(callbacks), options);
  }

private:
  Duration elapsed() const { return clock_.now() - planned_start_; }

  void onHeaders(int status, const http::Headers& headers) {
    status_ = status;
    const auto engine = headers.find("x-crankspur-engine");
    if (engine != headers.end()) outcome_.engine = engine->second;
  }

  void onData(std::string_view bytes) {
    if (status_ != 200) {
      error_body_ += bytes;
      return;
    }
    parser_.feed(bytes, [this](std::string_view event) { onEvent(event); });
  }

  void onEvent(std::string_view event) {
    if (event == "[DONE]") {
      complete_ = true;
      return;
    }
    json::error_code parse_error;
    const json::value value = json::parse(json::string_view(event.data(), event.size()), parse_error);
    if (parse_error || !value.is_object()) return;
    const json::object& object = value.get_object();
    if (object.contains("error")) {
      error_body_ = event;
    } else if (kind_ == TargetKind::Sidecar) {
      onChunk(object);
    } else {
      onEngineEvent(object);
    }
  }

  void onChunk(const json::object& chunk) {
    if (const json::value* usage = chunk.if_contains("usage"); usage != nullptr && usage->is_object()) {
      const json::object& fields = usage->get_object();
      outcome_.prompt_tokens = static_cast<std::uint32_t>(integerField(fields, "prompt_tokens"));
      const json::value* details = fields.if_contains("prompt_tokens_details");
      if (details != nullptr && details->is_object()) {
        outcome_.cached_tokens =
            static_cast<std::uint32_t>(integerField(details->get_object(), "cached_tokens"));
      }
    }
    const json::value* choices = chunk.if_contains("choices");
    if (choices == nullptr || !choices->is_array() || choices->get_array().empty()) return;
    const json::value& choice = choices->get_array()[0];
    const json::value* delta = choice.is_object() ? choice.get_object().if_contains("delta") : nullptr;
    if (delta != nullptr && delta->is_object()) appendText(stringField(delta->get_object(), "content"));
  }

  void onEngineEvent(const json::object& event) {
    const std::string type = stringField(event, "type");
    if (type == "accepted") {
      outcome_.prompt_tokens = static_cast<std::uint32_t>(integerField(event, "prompt_tokens"));
      outcome_.cached_tokens = static_cast<std::uint32_t>(integerField(event, "cached_tokens"));
    } else if (type == "tokens") {
      appendText(stringField(event, "text"));
    } else if (type == "end") {
      complete_ = true;
    }
  }

  void appendText(const std::string& text) {
    if (text.empty()) return;
    if (outcome_.first_token == Duration::zero()) outcome_.first_token = elapsed();
    text_ += text;
  }

  void onDone(std::error_code error) {
    outcome_.total = elapsed();
    outcome_.completion_tokens = expected_.token_count;
    if (!error_body_.empty()) {
      classifyError();
    } else if (status_ == 0 || (status_ != 200 && error)) {
      outcome_.verdict = Verdict::NoAnswer;
    } else if (!complete_) {
      outcome_.verdict = Verdict::Cut;
    } else {
      outcome_.verdict = text_ == expected_.text ? Verdict::Whole : Verdict::Wrong;
    }
    done_(outcome_);
  }

  void classifyError() {
    json::error_code parse_error;
    const json::value value = json::parse(error_body_, parse_error);
    const json::value* detail =
        !parse_error && value.is_object() ? value.get_object().if_contains("error") : nullptr;
    const bool structured = detail != nullptr && detail->is_object();
    outcome_.error_code = structured ? stringField(detail->get_object(), "code") : "unreadable";
    const bool not_run = structured && stringField(detail->get_object(), "ran") == "not_run";
    outcome_.verdict = not_run ? Verdict::Refused : Verdict::Failed;
  }

  TargetKind kind_;
  TimePoint planned_start_;
  OutcomeCallback done_;
  SteadyClock clock_;
  standin::ExpectedCompletion expected_;
  CallOutcome outcome_;
  http::EventStreamParser parser_;
  int status_ = 0;
  bool complete_ = false;
  std::string text_;
  std::string error_body_;
};

http::Request sidecarRequest(const PlannedRequest& planned) {
  http::Request request;
  request.method = "POST";
  request.target = "/v1/chat/completions";
  request.headers["Authorization"] = "Bearer " + planned.api_key;
  request.headers["Content-Type"] = "application/json";
  request.body = planned.chatBody();
  return request;
}

http::Request engineRequest(const PlannedRequest& planned, std::uint64_t number) {
  http::Request request;
  request.method = "POST";
  request.target = "/v1/completions";
  request.headers["Content-Type"] = "application/json";
  request.body = json::serialize(json::object{{"request_id", fmt::format("direct-{}", number)},
                                              {"attempt", 1},
                                              {"tenant", planned.tenant},
                                              {"model", planned.model},
                                              {"adapter", planned.adapter},
                                              {"prompt", planned.prompt()},
                                              {"max_tokens", planned.max_tokens},
                                              {"priority", 1},
                                              {"expect_weights", planned.weights_version}});
  return request;
}

}  // namespace

const char* verdictName(Verdict verdict) {
  switch (verdict) {
    case Verdict::Whole:
      return "whole";
    case Verdict::Wrong:
      return "wrong";
    case Verdict::Cut:
      return "cut";
    case Verdict::Refused:
      return "refused";
    case Verdict::Failed:
      return "failed";
    case Verdict::NoAnswer:
      return "no_answer";
  }
  return "no_answer";
}

void startCall(http::Client& client, const Target& target, const PlannedRequest& request,
               std::uint64_t number, TimePoint planned_start, OutcomeCallback done) {
  const auto call = std::make_shared<LoadCall>(target.kind, request, planned_start, std::move(done));
  http::Request message =
      target.kind == TargetKind::Sidecar ? sidecarRequest(request) : engineRequest(request, number);
  call->start(client, target.address, std::move(message));
}

}  // namespace crankspur::load
