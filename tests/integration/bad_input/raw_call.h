#pragma once
/// @file Raw bytes to a TCP port, as a hostile or broken client sends them.

#include <string>

namespace crankspur::testing {

/// What came back.
struct RawAnswer {
  std::string bytes;
  bool ended = false;  ///< The server ended the connection by itself.
};

/// Connects, sends `bytes` and reads until the server ends the connection; gives up after 15 s.
/// @param address "IP:port".
/// @param half_close says after sending that nothing more follows.
RawAnswer sendRaw(const std::string& address, const std::string& bytes, bool half_close = false);

}  // namespace crankspur::testing
