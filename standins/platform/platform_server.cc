#include "standins/platform/platform_server.h"

#include <boost/asio/steady_timer.hpp>

#include "standins/platform/platform_control.h"
#include "standins/platform/platform_http.h"

namespace crankspur::standin {

namespace {

constexpr std::size_t kMaxObjectBytes = std::size_t{16} * 1024 * 1024;

void respond(const PlatformCallOutcome& outcome, const std::shared_ptr<http::ResponseWriter>& writer) {
  if (outcome.lost) {
    writer->abort();
    return;
  }
  writer->respond(encodePlatformResponse(outcome.response));
}

}  // namespace

std::error_code PlatformServer::start(const std::string& address) {
  http::ServerLimits limits;
  limits.body_bytes = kMaxObjectBytes;
  std::error_code error;
  server_ = http::listen(
      executor_, address,
      [this](const http::Request& request, const std::shared_ptr<http::ResponseWriter>& writer) {
        handle(request, writer);
      },
      error, limits);
  return error;
}

void PlatformServer::handle(const http::Request& request,
                            const std::shared_ptr<http::ResponseWriter>& writer) {
  if (request.path() == "/control") {
    writer->respond(applyPlatformControl(request, model_, clock_.now()));
    return;
  }
  const auto decoded = decodePlatformCall(request);
  if (const auto* error_response = std::get_if<http::Response>(&decoded)) {
    writer->respond(*error_response);
    return;
  }
  respondAfterDelay(model_.call(std::get<PlatformCall>(decoded), clock_.now()), writer);
}

void PlatformServer::respondAfterDelay(const PlatformCallOutcome& outcome,
                                       const std::shared_ptr<http::ResponseWriter>& writer) {
  if (outcome.delay <= Duration{0}) {
    respond(outcome, writer);
    return;
  }
  const auto timer = std::make_shared<boost::asio::steady_timer>(executor_, outcome.delay);
  timer->async_wait([timer, outcome, writer](const boost::system::error_code&) { respond(outcome, writer); });
}

}  // namespace crankspur::standin
