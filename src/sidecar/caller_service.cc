#include "sidecar/caller_service.h"

#include <fmt/format.h>

#include <chrono>
#include <utility>

#include "base/hash.h"
#include "caller/caller_error.h"
#include "caller/chat_request.h"

namespace crankspur {

namespace {

constexpr Duration kDefaultRetryAfter = std::chrono::seconds(1);
/// Interval of refreshes of the back-end list, and of requests until the first list was received.
constexpr Duration kBackendsInterval = std::chrono::seconds(60);
constexpr Duration kInitialBackendsInterval = std::chrono::seconds(1);
constexpr std::string_view kOperationsPath = "/v1/operations/";

CallerError refusal(ErrorCode code, std::string message, Duration retry_after = Duration::zero()) {
  return {code, RunState::NotRun, retry_after, std::move(message)};
}

std::int64_t unixSeconds() {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::seconds>(since_epoch).count();
}

/// @return the request id in a message of a router, or an empty string.
const std::string& requestIdOf(const Message& message) {
  static const std::string none;
  if (const auto* accepted = std::get_if<Accepted>(&message)) return accepted->request_id;
  if (const auto* piece = std::get_if<StreamPiece>(&message)) return piece->request_id;
  if (const auto* end = std::get_if<StreamEnd>(&message)) return end->request_id;
  if (const auto* refused = std::get_if<Refusal>(&message)) return refused->request_id;
  return none;
}

http::Response methodNotAllowed(const std::string& allowed) {
  http::Response response = makeErrorResponse(refusal(ErrorCode::InvalidRequest, "use " + allowed));
  response.status = 405;
  response.headers["Allow"] = allowed;
  return response;
}

http::Response notFound() {
  http::Response response = makeErrorResponse(refusal(ErrorCode::InvalidRequest, "no such path"));
  response.status = 404;
  return response;
}

}  // namespace

CallerService::CallerService(boost::asio::any_io_executor executor, const SidecarSettings& settings,
                             std::uint64_t incarnation, EventLog& log, SidecarMetrics& metrics,
                             std::function<void(BundleBody)> on_bundle_body)
    : executor_(std::move(executor)),
      settings_(settings),
      incarnation_(incarnation),
      log_(log),
      metrics_(metrics),
      random_(incarnation),
      selector_(settings.zone, settings.region),
      directory_(settings.name, settings.zone, settings.region, incarnation),
      on_bundle_body_(std::move(on_bundle_body)) {
  for (const std::string& address : settings.routers) directory_.addSeed(address);
}

std::error_code CallerService::start() {
  RouterLinks::Callbacks callbacks;
  callbacks.on_routers_changed = [this] { onRoutersChanged(); };
  callbacks.on_router_lost = [this](const std::string& router) { onRouterLost(router); };
  callbacks.on_message = [this](const std::string& router, Message message) {
    onRouterMessage(router, std::move(message));
  };
  callbacks.on_bundle_version = [this](const std::string& router, std::uint64_t version) {
    requestBackends(router);
    const TimePoint now = clock_.now();
    if (!sharing_.shouldRequest(version, now)) return;
    if (bundle_puller_.onVersion(router, version, sharing_.version(), now)) {
      links_->send(router, sharing_.request());
    }
  };
  links_ = std::make_unique<RouterLinks>(
      executor_, directory_, [this] { return hello(); }, std::move(callbacks), log_);
  http::ServerLimits limits;
  limits.body_bytes = settings_.request_bytes;
  limits.connections = settings_.connections;
  std::error_code error;
  server_ = http::listen(
      executor_, settings_.listen,
      [this](const http::Request& request, const std::shared_ptr<http::ResponseWriter>& writer) {
        onRequest(request, writer);
      },
      error, limits);
  if (!error) links_->start();
  return error;
}

Hello CallerService::hello() const {
  Hello message;
  message.node_name = settings_.name;
  message.incarnation = incarnation_;
  message.role = NodeRole::Sidecar;
  message.zone = settings_.zone;
  message.region = settings_.region;
  message.bundle_version = bundle_ ? bundle_->body.version : 0;
  return message;
}

void CallerService::setBundle(std::shared_ptr<const SignedBundle> bundle) {
  const bool newer = bundle != nullptr && (!bundle_ || bundle->body.version > bundle_->body.version);
  if (!newer) return;
  bundle_ = std::move(bundle);
  sharing_.setBundle(bundle_);
  metrics_.setBundleVersion(bundle_->body.version);
}

void CallerService::addRouters(const std::vector<MemberRecord>& records) {
  for (const MemberRecord& record : records) directory_.applyRecord(record);
  onRoutersChanged();
}

void CallerService::drain(std::function<void()> on_drained) {
  stopping_ = true;
  on_drained_ = std::move(on_drained);
  if (server_) server_->stopAccepting();
  finishDrain();
}

void CallerService::finishDrain() {
  if (!stopping_ || !exchanges_.empty() || !on_drained_) return;
  std::exchange(on_drained_, nullptr)();
}

void CallerService::stop() {
  if (links_) links_->stop(true);
  server_.reset();
}

CallerServiceStatus CallerService::status() const {
  CallerServiceStatus status;
  status.in_flight = exchanges_.size();
  status.known_routers = directory_.size();
  status.bundle_version = bundle_ ? bundle_->body.version : 0;
  status.stopping = stopping_;
  if (links_) status.routers = links_->status();
  return status;
}

void CallerService::refuse(const CallerError& error, const std::shared_ptr<http::ResponseWriter>& writer) {
  metrics_.countRequest(errorName(error.code));
  log_.write(EventId::CallerRefused, {{"code", errorName(error.code)}, {"reason", error.message}});
  writer->respond(makeErrorResponse(error));
}

void CallerService::onRequest(const http::Request& request,
                              const std::shared_ptr<http::ResponseWriter>& writer) {
  if (stopping_) {
    refuse(refusal(ErrorCode::Stopping, "the sidecar is stopping", kDefaultRetryAfter), writer);
  } else if (!bundle_) {
    refuse(refusal(ErrorCode::NotReady, "the sidecar holds no bundle yet", kDefaultRetryAfter), writer);
  } else if (exchanges_.size() >= settings_.max_requests) {
    refuse(refusal(ErrorCode::Overloaded, "the sidecar has too many requests in flight", kDefaultRetryAfter),
           writer);
  } else {
    route(request, writer);
  }
}

void CallerService::route(const http::Request& request, const std::shared_ptr<http::ResponseWriter>& writer) {
  const std::string path = request.path();
  const bool chat = path == "/v1/chat/completions";
  const bool models = path == "/v1/models";
  const bool operation = path.starts_with(kOperationsPath);
  if (!chat && !models && !operation) return writer->respond(notFound());
  const std::string method = models ? "GET" : "POST";
  if (request.method != method) return writer->respond(methodNotAllowed(method));
  CallerError error;
  const std::optional<CallerHeaders> headers = parseCallerHeaders(request, error);
  if (!headers) return refuse(error, writer);
  const Bundle& bundle = *bundle_->bundle;
  const TenantPolicy* tenant = headers->api_key.empty() ? nullptr : bundle.findTenantByKey(headers->api_key);
  if (tenant == nullptr)
    return refuse(refusal(ErrorCode::Unauthorized, "unknown or missing API key"), writer);
  if (models) return writer->respond(http::jsonResponse(200, modelListBody(bundle, *tenant)));
  if (chat) return startChat(request, *headers, *tenant, writer);
  startOperation(request, *headers, *tenant, writer);
}

void CallerService::startChat(const http::Request& request, const CallerHeaders& headers,
                              const TenantPolicy& tenant,
                              const std::shared_ptr<http::ResponseWriter>& writer) {
  CallerError error;
  const std::optional<ChatRequest> chat = parseChatRequest(request.body, error);
  if (!chat) return refuse(error, writer);
  std::optional<SubmitRequest> submit = buildChatSubmit(*chat, headers, *bundle_->bundle, tenant, error);
  if (!submit) return refuse(error, writer);
  ResponseFormat response_format;
  response_format.kind = chat->stream ? ResponseFormat::Kind::Stream : ResponseFormat::Kind::Complete;
  response_format.include_usage = chat->include_usage;
  response_format.model_name = chat->adapter.empty() ? chat->model : chat->model + ":" + chat->adapter;
  startExchange(std::move(*submit), std::move(response_format), headers, writer);
}

void CallerService::startOperation(const http::Request& request, const CallerHeaders& headers,
                                   const TenantPolicy& tenant,
                                   const std::shared_ptr<http::ResponseWriter>& writer) {
  const std::string name = request.path().substr(kOperationsPath.size());
  CallerError error;
  std::optional<SubmitRequest> submit =
      buildOperationSubmit(name, request.body, headers, *bundle_->bundle, tenant, error);
  if (!submit) return refuse(error, writer);
  ResponseFormat response_format;
  response_format.kind = ResponseFormat::Kind::Operation;
  response_format.operation = name;
  startExchange(std::move(*submit), std::move(response_format), headers, writer);
}

void CallerService::startExchange(SubmitRequest submit, ResponseFormat response_format,
                                  const CallerHeaders& headers,
                                  const std::shared_ptr<http::ResponseWriter>& writer) {
  submit.request_id = fmt::format("{}-{}-{}", settings_.name, toHex(incarnation_), ++last_request_number_);
  submit.deadline = headers.deadline.value_or(settings_.default_deadline);
  response_format.caller_request_id = headers.request_id;
  response_format.created = unixSeconds();
  const std::string id = submit.request_id;
  const auto exchange = std::make_shared<CallerExchange>(executor_, *this, id, std::move(response_format),
                                                         writer, settings_.slow_caller_bytes);
  exchanges_[id] = exchange;
  metrics_.setInFlight(exchanges_.size());
  exchange->start(std::move(submit), selector_, bundle_->bundle->knobs.max_attempts, random_.bits());
}

void CallerService::onRouterMessage(const std::string& router, Message message) {
  if (const auto* bundle_request = std::get_if<BundleRequest>(&message)) {
    if (const std::optional<Message> response = sharing_.response(*bundle_request))
      links_->send(router, *response);
    return;
  }
  if (auto* body = std::get_if<BundleBody>(&message)) {
    bundle_puller_.onBody();
    on_bundle_body_(std::move(*body));
    return;
  }
  if (const auto* update = std::get_if<BundleUpdate>(&message)) {
    applyBundleUpdate(router, *update);
    return;
  }
  if (std::holds_alternative<BackendListRequest>(message)) {
    if (!backends_.empty()) links_->send(router, BackendList{settings_.name, backends_});
    return;
  }
  if (auto* list = std::get_if<BackendList>(&message)) {
    if (!list->backends.empty()) backends_ = std::move(list->backends);
    return;
  }
  // Responses to ended requests are expected: the caller disconnected, or another attempt was faster.
  const auto found = exchanges_.find(requestIdOf(message));
  if (found == exchanges_.end()) return;
  const std::shared_ptr<CallerExchange> exchange = found->second;
  exchange->onMessage(message);
}

void CallerService::requestBackends(const std::string& router) {
  const TimePoint now = clock_.now();
  if (now < next_backends_refresh_) return;
  next_backends_refresh_ = now + (backends_.empty() ? kInitialBackendsInterval : kBackendsInterval);
  links_->send(router, BackendListRequest{settings_.name});
}

void CallerService::applyBundleUpdate(const std::string& router, const BundleUpdate& update) {
  std::optional<BundleBody> body = sharing_.apply(update);
  if (!body && sharing_.needsFullBody()) {
    links_->send(router, sharing_.request());
    return;
  }
  bundle_puller_.onBody();
  if (body) on_bundle_body_(std::move(*body));
}

void CallerService::onRouterLost(const std::string& router) {
  bundle_puller_.onRouterLost(router);
  // Copied, because exchanges that end are removed from the map during the iteration.
  std::vector<std::shared_ptr<CallerExchange>> open_exchanges;
  open_exchanges.reserve(exchanges_.size());
  for (const auto& [id, exchange] : exchanges_) open_exchanges.push_back(exchange);
  for (const auto& exchange : open_exchanges) exchange->onRouterLost(router);
}

void CallerService::onRoutersChanged() {
  std::vector<RouterCandidate> usable = directory_.usableRouters();
  usable_routers_ = usable.size();
  metrics_.setRouters(usable.size());
  selector_.setRouters(std::move(usable));
}

bool CallerService::submit(const std::string& router, const SubmitRequest& request) {
  if (!links_->send(router, request)) return false;
  selector_.recordStarted(router);
  metrics_.countSubmit(request.attempt > 1);
  if (request.attempt > 1) {
    log_.write(EventId::CallerResubmitted, {{"request_id", request.request_id},
                                            {"attempt", request.attempt},
                                            {"router", router},
                                            {"resume_offset", request.resume_offset}});
  }
  return true;
}

void CallerService::cancel(const std::string& router, const Cancel& cancel) {
  links_->send(router, cancel);
}

void CallerService::onRouterReleased(const std::string& router) {
  selector_.recordFinished(router);
}

void CallerService::onEnded(const std::string& request_id, const ExchangeOutcome& outcome) {
  const bool succeeded = outcome.code == ErrorCode::Ok;
  metrics_.countRequest(errorName(outcome.code));
  if (outcome.first_token > Duration::zero()) metrics_.observeFirstToken(outcome.first_token);
  if (succeeded)
    metrics_.countTokens(outcome.completion_tokens, outcome.prompt_tokens, outcome.cached_tokens);
  const EventId event = succeeded ? EventId::CallerAnswered : EventId::CallerFailed;
  log_.write(event, {{"request_id", request_id},
                     {"code", errorName(outcome.code)},
                     {"ran", runStateName(outcome.run_state)},
                     {"reason", outcome.message},
                     {"engine", outcome.engine},
                     {"attempts", outcome.attempts},
                     {"prompt_tokens", outcome.prompt_tokens},
                     {"cached_tokens", outcome.cached_tokens},
                     {"answer_tokens", outcome.completion_tokens},
                     {"first_token_ms", toMilliseconds(outcome.first_token)},
                     {"total_ms", toMilliseconds(outcome.total)}});
  exchanges_.erase(request_id);
  metrics_.setInFlight(exchanges_.size());
  finishDrain();
}

}  // namespace crankspur
