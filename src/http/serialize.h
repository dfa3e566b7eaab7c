#pragma once
/// @file Internal to this package: header blocks as text. Include it from .cc files only, because of Beast.

#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/http.hpp>
#include <string>

#include "http/message.h"

namespace crankspur::http {

/// Copies header fields. Line ends inside a value become spaces, so that no value can forge a field.
template <typename Fields>
void copyHeaders(const Headers& headers, Fields& fields) {
  for (const auto& [name, value] : headers) {
    std::string clean = value;
    for (char& character : clean) {
      if (character == '\r' || character == '\n') character = ' ';
    }
    fields.set(name, clean);
  }
}

/// @return the fields of a received message.
template <typename Fields>
Headers readHeaders(const Fields& fields) {
  Headers headers;
  for (const auto& field : fields) {
    const auto [place, fresh] = headers.try_emplace(std::string(field.name_string()), field.value());
    if (fresh) continue;
    place->second += ", ";
    place->second += std::string_view(field.value().data(), field.value().size());
  }
  return headers;
}

/// @return the header block of `message` with its empty line.
template <bool isRequest>
std::string headerText(boost::beast::http::message<isRequest, boost::beast::http::empty_body>& message) {
  boost::beast::http::serializer<isRequest, boost::beast::http::empty_body> serializer(message);
  serializer.split(true);
  std::string text;
  boost::system::error_code error;
  while (!serializer.is_header_done() && !error) {
    serializer.next(error, [&](boost::system::error_code&, const auto& buffers) {
      text += boost::beast::buffers_to_string(buffers);
      serializer.consume(boost::asio::buffer_size(buffers));
    });
  }
  return text;
}

}  // namespace crankspur::http
