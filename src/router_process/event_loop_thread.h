#pragma once
/// @file A thread that runs one Asio event loop.

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <thread>
#include <utility>

namespace crankspur {

/// Owns an io_context and, once started, the one thread that runs it.
class EventLoopThread {
public:
  EventLoopThread() : context_(1), work_(boost::asio::make_work_guard(context_)) {}
  ~EventLoopThread() { stop(); }
  /// Starts the thread.
  void start() {
    thread_ = std::thread([this] { context_.run(); });
  }
  /// Ends the loop without regard to what waits in it, and joins the thread. Idempotent.
  void stop() {
    context_.stop();
    if (thread_.joinable()) thread_.join();
  }
  /// Runs `work` on the loop's thread; may be called from any thread.
  template <typename Work>
  void post(Work work) {
    boost::asio::post(context_, std::move(work));
  }
  boost::asio::io_context::executor_type executor() { return context_.get_executor(); }

private:
  boost::asio::io_context context_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
  std::thread thread_;
};

}  // namespace crankspur
