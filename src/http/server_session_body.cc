#include <algorithm>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>

#include "http/server_session.h"

namespace crankspur::http {

namespace asio = boost::asio;
namespace beast = boost::beast;

namespace {

constexpr std::string_view kContinueResponse = "HTTP/1.1 100 Continue\r\n\r\n";
/// Reserved first for a body that declares no size.
constexpr std::size_t kBodyPartBytes = std::size_t{64} * 1024;

std::string fieldOf(const Headers& headers, const std::string& name) {
  const auto found = headers.find(name);
  return found == headers.end() ? std::string() : found->second;
}

}  // namespace

/// Only bodies of some size are worth a decision by the head: the others fit into the buffers of the
/// connection.
void ServerSession::requestBody() {
  if (rejection_) return sendRejection();
  if (!state_->memory_guard) return startBody();
  body_bytes_.reset();
  if (const auto declared = parser_->content_length()) body_bytes_ = static_cast<std::size_t>(*declared);
  BodyUse use = BodyUse::read_unidentified;
  const bool small = body_bytes_ && *body_bytes_ <= BodyAdmission::kSmallBytes;
  if (!small && state_->body_use_handler) use = state_->body_use_handler(parser_->head());
  if (use == BodyUse::ignore) return deliverWithoutBody();
  const auto [body, decision] = state_->memory_guard->request(
      shared_from_this(), body_bytes_.value_or(kBodyPartBytes), use == BodyUse::read);
  if (decision == BodyDecision::Refused) return rejectForMemory();
  body_ = body;
  body_waiting_ = decision == BodyDecision::Waiting;
  if (!body_waiting_) startBody();
}

void ServerSession::onBodyAdmitted() {
  if (!std::exchange(body_waiting_, false)) return;
  startBody();
}

void ServerSession::rejectBody() {
  if (std::exchange(body_waiting_, false)) return rejectForMemory();
  body_rejected_ = true;
  boost::system::error_code ignored;
  socket_.cancel(ignored);  // The pending read then calls failRequest.
}

void ServerSession::startBody() {
  body_rejected_ = false;
  if (body_bytes_) parser_->reserveBody(*body_bytes_);
  if (beast::iequals(fieldOf(parser_->headers(), "Expect"), "100-continue")) return sendContinue();
  readBody();
}

void ServerSession::sendContinue() {
  const auto on_sent = [self = shared_from_this()](boost::system::error_code error, std::size_t) {
    if (self->phase_ == Phase::Closed) return;
    if (error && !self->body_rejected_ && !self->rejection_) return self->close();
    self->readBody();
  };
  asio::async_write(socket_, asio::buffer(kContinueResponse), on_sent);
}

void ServerSession::readBody() {
  if (parser_->is_done()) return deliver();
  if (rejection_) return sendRejection();
  if (body_rejected_ || !holdNextPart()) return rejectForMemory();
  parser_->eager(true);
  const auto on_part = [self = shared_from_this()](boost::system::error_code error, std::size_t) {
    if (self->phase_ == Phase::Closed) return;
    if (error) return self->failRequest(error);
    if (self->body_) self->state_->memory_guard->onReceived(*self->body_, self->parser_->bodyBytes());
    self->readBody();
  };
  beast::http::async_read_some(socket_, buffer_, *parser_, on_part);
}

/// @return false: the body declares no size, and the budget has no room for the next part.
bool ServerSession::holdNextPart() {
  if (!body_ || body_bytes_) return true;
  const std::size_t needed = parser_->bodyBytes() + kBodyPartBytes;
  if (needed <= parser_->bodyCapacity()) return true;
  const std::size_t capacity = std::max(needed, 2 * parser_->bodyCapacity());
  if (!state_->memory_guard->grow(*body_, capacity)) return false;
  parser_->reserveBody(capacity);
  return true;
}

ByteReservation ServerSession::releaseBody() {
  body_waiting_ = false;
  if (!body_) return {};
  return state_->memory_guard->remove(*std::exchange(body_, std::nullopt));
}

void ServerSession::rejectForMemory() {
  body_rejected_ = false;
  if (state_->memory_guard) state_->memory_guard->onRejected();
  sendError(overloadedResponse("no memory is free for the request"), RejectionReason::no_memory);
}

}  // namespace crankspur::http
