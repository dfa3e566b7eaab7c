#pragma once
/// @file HTTP request and response values. Free of Boost.Beast to keep compile times of callers short.

#include <map>
#include <span>
#include <string>
#include <string_view>

#include "http/body.h"

namespace crankspur::http {

/// Case-insensitive comparison of header names.
struct HeaderLess {
  bool operator()(const std::string& left, const std::string& right) const;
};

/// Header fields. Values of a repeated field are joined by ", ".
using Headers = std::map<std::string, std::string, HeaderLess>;

/// HTTP request.
struct Request {
  std::string method = "GET";
  std::string target = "/";  ///< Path with query.
  Headers headers;
  Body body;

  /// @return the target without its query.
  std::string path() const;
  /// @return the decoded value of a query parameter, or an empty string.
  std::string query(const std::string& name) const;
  /// @return a header's value, or an empty string.
  std::string header(const std::string& name) const;
};

/// Removes hop-by-hop fields: those of RFC 9110, section 7.6.1, those named by Connection, and the framing of
/// the body.
/// @param end_to_end names of fields that Connection cannot remove, because the request has no meaning
/// without them.
void removeConnectionHeaders(Headers& headers, std::span<const char* const> end_to_end = {});

/// How the end of a response's body is marked (RFC 9112, section 6.3).
enum class BodyFraming {
  Length,   ///< By a Content-Length, or there is no body.
  Chunked,  ///< By the last chunk.
  Close,    ///< By the end of the connection, which does not tell a complete body from a truncated one.
};

/// @return the framing as written in logs.
std::string_view nameOf(BodyFraming framing);

/// Complete HTTP response.
struct Response {
  int status = 200;
  Headers headers;
  std::string body;
};

/// @return a response with content type application/json.
Response jsonResponse(int status, std::string body);

/// @return an error response with the body {"error":{"code","message","ran"}}.
/// @param code stable error name, see errorName().
/// @param ran "not_run", "unknown" or "ran".
Response errorResponse(int status, std::string_view code, std::string_view message, std::string_view ran);

/// @return the response to a request that did not run for want of room: 503 with Retry-After.
Response overloadedResponse(std::string_view message);

/// @return memory that the fields take.
std::size_t memoryOf(const Headers& headers);

/// Why a server rejects a request itself, beside its status.
enum class RejectionReason {
  limits,     ///< It cannot be read, or exceeds a limit that the status names.
  no_memory,  ///< The budget has no room for it.
  stopping,   ///< The process stops.
};

}  // namespace crankspur::http
