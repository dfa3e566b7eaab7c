#pragma once
/// @file Serialization of header blocks. Internal to this package; include only from .cc files, as it
/// includes Beast.

#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/http.hpp>
#include <string>

#include "http/message.h"

namespace crankspur::http {

/// Copies header fields. Line breaks in a value become spaces to prevent header injection.
template <typename Fields>
void copyHeaders(const Headers& headers, Fields& fields) {
  for (const auto& [name, value] : headers) {
    std::string sanitized = value;
    for (char& character : sanitized) {
      if (character == '\r' || character == '\n') character = ' ';
    }
    fields.set(name, sanitized);
  }
}

/// @return the header fields of a received message.
template <typename Fields>
Headers readHeaders(const Fields& fields) {
  Headers headers;
  for (const auto& field : fields) {
    const auto [entry, inserted] = headers.try_emplace(std::string(field.name_string()), field.value());
    if (inserted) continue;
    entry->second += ", ";
    entry->second += std::string_view(field.value().data(), field.value().size());
  }
  return headers;
}

/// @return the header block of `message` including the terminating empty line.
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
