#include "http/message.h"

#include <algorithm>
#include <boost/json.hpp>
#include <chrono>
#include <vector>

#include "base/error.h"

namespace crankspur::http {

namespace {

/// Time after which a client may repeat a request for which a server had no room.
constexpr std::chrono::seconds kOverloadRetryAfter{1};

char lowerCase(char character) {
  return character >= 'A' && character <= 'Z' ? static_cast<char>(character - 'A' + 'a') : character;
}

int hexDigit(char character) {
  if (character >= '0' && character <= '9') return character - '0';
  const char lower = lowerCase(character);
  return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
}

/// Decodes percent escapes and "+". Malformed escapes are kept unchanged.
std::string decodeQueryText(std::string_view text) {
  std::string decoded;
  for (std::size_t index = 0; index < text.size(); ++index) {
    const char character = text[index];
    const bool is_escape = character == '%' && index + 2 < text.size() && hexDigit(text[index + 1]) >= 0 &&
                           hexDigit(text[index + 2]) >= 0;
    if (is_escape) {
      decoded += static_cast<char>(hexDigit(text[index + 1]) * 16 + hexDigit(text[index + 2]));
      index += 2;
    } else {
      decoded += character == '+' ? ' ' : character;
    }
  }
  return decoded;
}

}  // namespace

bool HeaderLess::operator()(const std::string& left, const std::string& right) const {
  const auto less = [](char first, char second) { return lowerCase(first) < lowerCase(second); };
  return std::lexicographical_compare(left.begin(), left.end(), right.begin(), right.end(), less);
}

std::string Request::path() const {
  return target.substr(0, target.find('?'));
}

std::string Request::query(const std::string& name) const {
  const std::size_t query_start = target.find('?');
  if (query_start == std::string::npos) return {};
  std::string_view rest = std::string_view(target).substr(query_start + 1);
  while (!rest.empty()) {
    const std::string_view parameter = rest.substr(0, rest.find('&'));
    rest.remove_prefix(std::min(rest.size(), parameter.size() + 1));
    const std::size_t equals = std::min(parameter.find('='), parameter.size());
    if (decodeQueryText(parameter.substr(0, equals)) != name) continue;
    return decodeQueryText(parameter.substr(std::min(parameter.size(), equals + 1)));
  }
  return {};
}

std::string Request::header(const std::string& name) const {
  const auto found = headers.find(name);
  return found == headers.end() ? std::string() : found->second;
}

void removeConnectionHeaders(Headers& headers, std::span<const char* const> end_to_end) {
  static const char* const kHopByHopFields[] = {"Connection", "Keep-Alive",        "Proxy-Connection",
                                                "TE",         "Transfer-Encoding", "Trailer",
                                                "Upgrade",    "Content-Length",    "Expect"};
  const auto connection = headers.find("Connection");
  if (connection != headers.end()) {
    std::string_view rest = connection->second;
    std::vector<std::string> connection_options;
    while (!rest.empty()) {
      std::string_view name = rest.substr(0, rest.find(','));
      rest.remove_prefix(std::min(rest.size(), name.size() + 1));
      while (name.starts_with(' ') || name.starts_with('\t')) name.remove_prefix(1);
      while (name.ends_with(' ') || name.ends_with('\t')) name.remove_suffix(1);
      connection_options.emplace_back(name);
    }
    const HeaderLess less;
    for (const std::string& name : connection_options) {
      const bool kept = std::any_of(end_to_end.begin(), end_to_end.end(), [&](const char* field) {
        return !less(name, field) && !less(field, name);
      });
      if (!kept) headers.erase(name);
    }
  }
  for (const char* const name : kHopByHopFields) headers.erase(name);
}

std::string_view nameOf(BodyFraming framing) {
  switch (framing) {
    case BodyFraming::Length:
      return "length";
    case BodyFraming::Chunked:
      return "chunked";
    case BodyFraming::Close:
      return "close";
  }
  return "close";
}

Response jsonResponse(int status, std::string body) {
  Response response;
  response.status = status;
  response.headers["Content-Type"] = "application/json";
  response.body = std::move(body);
  return response;
}

Response errorResponse(int status, std::string_view code, std::string_view message, std::string_view ran) {
  boost::json::object error;
  error["code"] = code;
  error["message"] = message;
  error["ran"] = ran;
  return jsonResponse(status, boost::json::serialize(boost::json::object{{"error", error}}));
}

Response overloadedResponse(std::string_view message) {
  Response response = errorResponse(503, errorName(ErrorCode::Overloaded), message, "not_run");
  response.headers["Retry-After"] = std::to_string(kOverloadRetryAfter.count());
  return response;
}

std::size_t memoryOf(const Headers& headers) {
  constexpr std::size_t kFieldOverheadBytes = sizeof(Headers::value_type) + 6 * sizeof(void*);
  std::size_t bytes = 0;
  for (const auto& [name, value] : headers) bytes += kFieldOverheadBytes + name.size() + value.size();
  return bytes;
}

}  // namespace crankspur::http
