#pragma once
/// @file Blocking and background HTTP calls for integration tests, over the project's own client.

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

#include "http/client.h"

namespace crankspur::testing {

/// How a call ended.
struct CallResult {
  int status = 0;
  http::Headers headers;
  std::string body;
  bool complete = false;  ///< False when the connection failed or the stream was cut.
  std::chrono::milliseconds elapsed{0};
};

/// One HTTP call that runs on its own thread; the body so far can be read while it streams.
class BackgroundCall {
public:
  BackgroundCall(const std::string& address, http::Request request,
                 std::chrono::milliseconds limit = std::chrono::seconds(30));
  ~BackgroundCall();
  /// @return the body received so far.
  std::string bodySoFar() const;
  /// @return whether the call has ended.
  bool done() const;
  /// Waits for the end.
  CallResult result();
  /// Closes the connection as a caller who gives up does.
  void abandon();

private:
  void run(const std::string& address, http::Request request, std::chrono::milliseconds limit);

  mutable std::mutex mutex_;
  CallResult result_;
  bool done_ = false;
  boost::asio::io_context context_;
  std::shared_ptr<http::Exchange> exchange_;
  std::thread thread_;
};

/// Runs one call to its end.
CallResult call(const std::string& address, http::Request request,
                std::chrono::milliseconds limit = std::chrono::seconds(30));
/// GET without headers.
CallResult get(const std::string& address, const std::string& target);
/// POST of a JSON body.
CallResult post(const std::string& address, const std::string& target, const std::string& body);

}  // namespace crankspur::testing
