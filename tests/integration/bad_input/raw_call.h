#pragma once
/// @file Sends raw bytes to a TCP port, to simulate a malicious or faulty client.

#include <string>

namespace crankspur::testing {

/// Bytes received from the server.
struct RawResponse {
  std::string bytes;
  bool closed_by_server = false;  ///< Whether the server closed the connection.
};

/// Connects, sends `bytes` and reads until the server closes the connection or 15 s have passed.
/// @param address "IP:port".
/// @param half_close whether to shut down the sending direction after `bytes`.
RawResponse sendRaw(const std::string& address, const std::string& bytes, bool half_close = false);

}  // namespace crankspur::testing
