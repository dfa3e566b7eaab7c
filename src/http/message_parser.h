#pragma once
/// @file Parsers of requests and responses. Internal to this package; include only from .cc files, as it
/// includes Beast. They collect header fields in Headers: Beast's own container throws for values above
/// 65,533 bytes, and stores trailer fields as if they were header fields.

#include <boost/beast/http/basic_parser.hpp>
#include <functional>
#include <ostream>
#include <string>
#include <string_view>
#include <utility>

#include "http/message.h"

namespace crankspur::http {

/// @param received bytes from the start of a head on.
/// @return whether a line of the complete head begins with a blank, and thus continues the field before.
/// Senders must not fold fields, and the continuation could change a field that the receiver relies on (RFC
/// 9112, section 5.2).
bool hasFoldedField(std::string_view received);

/// Header fields and framing of the message that is being received.
template <bool isRequest>
class MessageParser : public boost::beast::http::basic_parser<isRequest> {
public:
  const Headers& headers() const { return headers_; }
  /// To be called once, after the head.
  Headers takeHeaders() { return std::move(headers_); }
  /// @return HTTP version: 11 or 10.
  int version() const { return version_; }
  /// @param bytes maximum size of all trailer fields together. They are read and dropped.
  void setTrailerLimit(std::size_t bytes) { trailer_limit_ = bytes; }

protected:
  using Error = boost::system::error_code;
  using View = boost::beast::string_view;

  void on_field_impl(boost::beast::http::field, View name, View value, Error& error) override {
    if (head_complete_) return countTrailer(name.size() + value.size() + kFieldFramingBytes, error);
    if (headers_.size() >= kMaxFields && !headers_.contains(std::string(name))) {
      error = boost::beast::http::error::header_limit;
      return;
    }
    const auto [entry, inserted] = headers_.try_emplace(std::string(name), value);
    if (inserted) return;
    entry->second += ", ";
    entry->second += std::string_view(value.data(), value.size());
  }
  void on_header_impl(Error& error) override {
    head_complete_ = true;
    checkFraming(error);
  }
  void on_body_init_impl(const boost::optional<std::uint64_t>&, Error&) override {}
  void on_chunk_header_impl(std::uint64_t, View, Error&) override {}
  std::size_t on_chunk_body_impl(std::uint64_t, View piece, Error& error) override {
    return this->on_body_impl(piece, error);
  }
  void on_finish_impl(Error&) override {}

  Headers headers_;
  int version_ = 11;

private:
  /// A field takes much more memory than its text, which the limit of the head counts.
  static constexpr std::size_t kMaxFields = 1'000;
  static constexpr std::size_t kFieldFramingBytes = 4;  ///< The colon, one space and the end of the line.

  void countTrailer(std::size_t bytes, Error& error) {
    trailer_bytes_ += bytes;
    if (trailer_bytes_ > trailer_limit_) error = boost::beast::http::error::header_limit;
  }

  /// Only "chunked" alone is supported. The end of a request with another last coding cannot be determined
  /// (RFC 9112, section 6.3), and the other codings are not decoded, so that the body must not be passed on
  /// without them.
  void checkFraming(Error& error) const {
    const auto coding = headers_.find("Transfer-Encoding");
    if (coding == headers_.end()) return;
    const bool one_framing = !headers_.contains("Content-Length") && version_ == 11;
    if (!one_framing || !this->chunked()) {
      error = boost::beast::http::error::bad_transfer_encoding;
    } else if (!boost::beast::iequals(coding->second, "chunked")) {
      error = make_error_code(boost::system::errc::not_supported);
    }
  }

  bool head_complete_ = false;
  std::size_t trailer_bytes_ = 0;
  std::size_t trailer_limit_ = 0;
};

/// Parser of a request with its body.
class RequestParser : public MessageParser<true> {
public:
  /// @return the request; its body is complete once is_done(). To be called once.
  /// @param held reservation for the bytes of the body.
  Request release(ByteReservation held = {});
  /// Allocates room for a body of a known size, so that it is not copied while it grows.
  void reserveBody(std::size_t bytes) { body_.reserve(bytes); }
  std::size_t bodyBytes() const { return body_.size(); }
  std::size_t bodyCapacity() const { return body_.capacity(); }
  /// @return memory that the target and the header fields take.
  std::size_t headBytes() const;
  /// @return the part of the head that was received, without a body.
  Request head() const;

private:
  void on_request_impl(boost::beast::http::verb, View method, View target, int version, Error&) override;
  void on_response_impl(int, View, int, Error&) override {}
  std::size_t on_body_impl(View piece, Error&) override;

  std::string method_;
  std::string target_;
  std::string body_;
};

/// Parser of a response that passes on its body as it is received.
class ResponseParser : public MessageParser<false> {
public:
  /// @param on_body called with each part of the body; returns false to reject the body.
  explicit ResponseParser(std::function<bool(std::string_view)> on_body) : on_body_(std::move(on_body)) {}
  int status() const { return status_; }

private:
  void on_request_impl(boost::beast::http::verb, View, View, int, Error&) override {}
  void on_response_impl(int status, View reason, int version, Error&) override;
  std::size_t on_body_impl(View piece, Error& error) override;

  std::function<bool(std::string_view)> on_body_;
  int status_ = 0;
};

}  // namespace crankspur::http
