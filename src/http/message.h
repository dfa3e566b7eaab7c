#pragma once
/// @file HTTP request and response values, free of Boost.Beast, so that callers compile fast.

#include <map>
#include <string>
#include <string_view>

namespace crankspur::http {

/// Case-insensitive comparison of header names.
struct HeaderLess {
  bool operator()(const std::string& left, const std::string& right) const;
};

/// Header fields. Values of a name received more than once are joined by ", ".
using Headers = std::map<std::string, std::string, HeaderLess>;

/// A request as received or to be sent.
struct Request {
  std::string method = "GET";
  std::string target = "/";  ///< Path with query.
  Headers headers;
  std::string body;

  /// @return the target without its query.
  std::string path() const;
  /// @return the decoded value of a query parameter, or an empty string.
  std::string query(const std::string& name) const;
  /// @return a header's value, or an empty string.
  std::string header(const std::string& name) const;
};

/// Takes out the fields that pertain to one connection only: those of RFC 9110, section 7.6.1, the ones that
/// Connection names, and the framing of the body.
void removeConnectionHeaders(Headers& headers);

/// A complete response.
struct Response {
  int status = 200;
  Headers headers;
  std::string body;
};

/// @return a response with content type application/json.
Response jsonResponse(int status, std::string body);

/// @return the project's error form {"error":{"code","message","ran"}}.
/// @param code a stable name, see errorName().
/// @param ran "not_run", "unknown" or "ran".
Response errorResponse(int status, std::string_view code, std::string_view message, std::string_view ran);

}  // namespace crankspur::http
