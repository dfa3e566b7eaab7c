#include "standins/platform/platform_server.h"

#include <boost/asio/steady_timer.hpp>

#include "standins/platform/platform_control.h"
#include "standins/platform/platform_http.h"

namespace crankspur::standin {

namespace {

constexpr std::size_t kObjectBytes = std::size_t{16} * 1024 * 1024;

void answer(const PlatformReply& reply, const std::shared_ptr<http::ResponseWriter>& writer) {
  if (reply.lost) {
    writer->abort();
    return;
  }
  writer->respond(encodePlatformAnswer(reply.answer));
}

}  // namespace

std::error_code PlatformServer::start(const std::string& address) {
  http::ServerLimits limits;
  limits.body_bytes = kObjectBytes;
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
  if (const auto* refused = std::get_if<http::Response>(&decoded)) {
    writer->respond(*refused);
    return;
  }
  answerLater(model_.call(std::get<PlatformCall>(decoded), clock_.now()), writer);
}

void PlatformServer::answerLater(const PlatformReply& reply,
                                 const std::shared_ptr<http::ResponseWriter>& writer) {
  if (reply.delay <= Duration{0}) {
    answer(reply, writer);
    return;
  }
  const auto timer = std::make_shared<boost::asio::steady_timer>(executor_, reply.delay);
  timer->async_wait([timer, reply, writer](const boost::system::error_code&) { answer(reply, writer); });
}

}  // namespace crankspur::standin
