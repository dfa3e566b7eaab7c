#pragma once
/// @file Addresses of the form "IP:port" ("[IP]:port" for IPv6) as Asio endpoints. Names are not resolved.

#include <boost/asio/ip/tcp.hpp>
#include <string>
#include <string_view>

namespace crankspur {

/// @return the endpoint; `error` is set when `address` is not of this form.
boost::asio::ip::tcp::endpoint parseEndpoint(std::string_view address, boost::system::error_code& error);

/// @return "IP:port".
std::string formatEndpoint(const boost::asio::ip::tcp::endpoint& endpoint);

/// @return the IP part of "IP:port".
std::string hostOf(std::string_view address);

/// @return the port part of "IP:port".
std::string portOf(std::string_view address);

}  // namespace crankspur
