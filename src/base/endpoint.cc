#include "base/endpoint.h"

#include <fmt/format.h>

#include <boost/asio/error.hpp>
#include <charconv>

namespace crankspur {

using boost::asio::ip::tcp;

namespace {

bool parsePort(std::string_view text, std::uint16_t& port) {
  const auto result = std::from_chars(text.data(), text.data() + text.size(), port);
  return result.ec == std::errc() && result.ptr == text.data() + text.size();
}

}  // namespace

tcp::endpoint parseEndpoint(std::string_view address, boost::system::error_code& error) {
  error = boost::asio::error::invalid_argument;
  const std::size_t colon = address.rfind(':');
  if (colon == std::string_view::npos) return {};
  std::uint16_t port = 0;
  if (!parsePort(address.substr(colon + 1), port)) return {};
  std::string_view host = address.substr(0, colon);
  const bool bracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
  if (bracketed) host = host.substr(1, host.size() - 2);
  const auto ip = boost::asio::ip::make_address(std::string(host), error);
  return {ip, port};
}

std::string formatEndpoint(const tcp::endpoint& endpoint) {
  const std::string ip = endpoint.address().to_string();
  if (endpoint.address().is_v6()) return fmt::format("[{}]:{}", ip, endpoint.port());
  return fmt::format("{}:{}", ip, endpoint.port());
}

std::string hostOf(std::string_view address) {
  return std::string(address.substr(0, address.rfind(':')));
}

std::string portOf(std::string_view address) {
  return std::string(address.substr(address.rfind(':') + 1));
}

}  // namespace crankspur
