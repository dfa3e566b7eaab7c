#pragma once
/// @file Serialization of the heads of messages. Internal to this package. Values have no size limit, unlike
/// those of Beast's container of fields.

#include <optional>
#include <string>

#include "http/message.h"

namespace crankspur::http {

/// @param host value of the Host field unless the request has one.
/// @return the head of `request` including the terminating empty line.
std::string requestHead(const Request& request, const std::string& host);

/// How the head of a response is written.
struct ResponseFraming {
  unsigned version = 11;                  ///< HTTP version: 11 or 10.
  bool keep_alive = false;                ///< The connection stays open after the response.
  std::optional<std::size_t> body_bytes;  ///< Empty: the body is chunked or ends with the connection.
  bool chunked = false;
};

/// @return the head of a response including the terminating empty line.
std::string responseHead(int status, const Headers& headers, const ResponseFraming& framing);

}  // namespace crankspur::http
