#include "http/message_parser.h"

#include <utility>

namespace crankspur::http {

namespace {

/// Other status codes have no class (RFC 9110, section 15).
constexpr int kMinStatus = 100;
constexpr int kMaxStatus = 599;

}  // namespace

bool hasFoldedField(std::string_view received) {
  const std::string_view head = received.substr(0, received.find("\r\n\r\n"));
  if (head.size() == received.size()) return false;
  return head.find("\n ") != std::string_view::npos || head.find("\n\t") != std::string_view::npos;
}

Request RequestParser::release(ByteReservation held) {
  Request request;
  request.method = std::move(method_);
  request.target = std::move(target_);
  request.headers = std::move(headers_);
  request.body = Body(std::move(body_), std::move(held));
  return request;
}

std::size_t RequestParser::headBytes() const {
  return target_.size() + memoryOf(headers_);
}

Request RequestParser::head() const {
  Request request;
  request.method = method_;
  request.target = target_;
  request.headers = headers_;
  return request;
}

void RequestParser::on_request_impl(boost::beast::http::verb, View method, View target, int version, Error&) {
  method_ = std::string(method);
  target_ = std::string(target);
  version_ = version;
}

std::size_t RequestParser::on_body_impl(View piece, Error&) {
  body_.append(piece.data(), piece.size());
  return piece.size();
}

void ResponseParser::on_response_impl(int status, View, int version, Error& error) {
  if (status < kMinStatus || status > kMaxStatus) error = boost::beast::http::error::bad_status;
  status_ = status;
  version_ = version;
}

std::size_t ResponseParser::on_body_impl(View piece, Error& error) {
  if (!on_body_(std::string_view(piece.data(), piece.size()))) error = boost::beast::http::error::body_limit;
  return piece.size();
}

}  // namespace crankspur::http
