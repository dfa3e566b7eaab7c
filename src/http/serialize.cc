#include "http/serialize.h"

#include <boost/beast/http/status.hpp>
#include <ostream>

namespace crankspur::http {

namespace {

constexpr unsigned kHttp10 = 10;

/// Writes one field. Line breaks become spaces to prevent header injection.
void appendField(std::string& head, std::string_view name, std::string_view value) {
  const std::size_t start = head.size();
  head += name;
  head += ": ";
  head += value;
  for (std::size_t index = start; index < head.size(); ++index) {
    if (head[index] == '\r' || head[index] == '\n') head[index] = ' ';
  }
  head += "\r\n";
}

void appendFields(std::string& head, const Headers& headers) {
  for (const auto& [name, value] : headers) appendField(head, name, value);
}

void addConnectionOption(Headers& headers, const std::string& option) {
  std::string& options = headers["Connection"];
  options += options.empty() ? option : ", " + option;
}

bool hasBody(const Request& request) {
  return !request.body.empty() || (request.method != "GET" && request.method != "HEAD");
}

}  // namespace

std::string requestHead(const Request& request, const std::string& host) {
  std::string head = request.method + " " + request.target + " HTTP/1.1\r\n";
  Headers headers = request.headers;
  headers.try_emplace("Host", host);
  if (hasBody(request)) headers["Content-Length"] = std::to_string(request.body.size());
  appendFields(head, headers);
  return head + "\r\n";
}

std::string responseHead(int status, const Headers& headers, const ResponseFraming& framing) {
  std::string head = framing.version == kHttp10 ? "HTTP/1.0 " : "HTTP/1.1 ";
  const auto reason = boost::beast::http::obsolete_reason(static_cast<boost::beast::http::status>(status));
  head += std::to_string(status) + " ";
  head.append(reason.data(), reason.size());
  head += "\r\n";
  Headers fields = headers;
  const bool persistent_by_default = framing.version != kHttp10;
  if (framing.keep_alive != persistent_by_default) {
    addConnectionOption(fields, framing.keep_alive ? "keep-alive" : "close");
  }
  fields.erase("Transfer-Encoding");
  if (framing.body_bytes) fields["Content-Length"] = std::to_string(*framing.body_bytes);
  if (framing.chunked) {
    fields.erase("Content-Length");
    fields["Transfer-Encoding"] = "chunked";
  }
  appendFields(head, fields);
  return head + "\r\n";
}

}  // namespace crankspur::http
