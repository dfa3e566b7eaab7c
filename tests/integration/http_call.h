#pragma once
/// @file Blocking and background HTTP calls for integration tests.

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

#include "http/client.h"

namespace crankspur::testing {

/// Response and outcome of a call.
struct CallResult {
  int status = 0;
  http::Headers headers;
  std::string body;
  bool complete = false;  ///< False if the connection failed or the body was truncated.
  std::chrono::milliseconds elapsed{0};
};

/// HTTP call that runs on its own thread. The part of the body received so far can be read at any time.
class BackgroundCall {
public:
  BackgroundCall(const std::string& address, http::Request request,
                 std::chrono::milliseconds timeout = std::chrono::seconds(30));
  ~BackgroundCall();
  /// @return the body received so far.
  std::string bodySoFar() const;
  /// @return whether the call has ended.
  bool done() const;
  /// Waits until the call has ended.
  CallResult result();
  /// Cancels the call by closing the connection.
  void cancel();

private:
  void run(const std::string& address, http::Request request, std::chrono::milliseconds timeout);

  mutable std::mutex mutex_;
  CallResult result_;
  bool done_ = false;
  boost::asio::io_context context_;
  std::shared_ptr<http::Exchange> exchange_;
  std::thread thread_;
};

/// Runs a call and waits until it has ended.
CallResult call(const std::string& address, http::Request request,
                std::chrono::milliseconds timeout = std::chrono::seconds(30));
/// Sends a GET request without headers.
CallResult get(const std::string& address, const std::string& target);
/// Sends a POST request with a JSON body.
CallResult post(const std::string& address, const std::string& target, const std::string& body);

}  // namespace crankspur::testing
