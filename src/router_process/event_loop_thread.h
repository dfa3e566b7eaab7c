#pragma once
/// @file A thread that runs one Asio event loop.

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <memory>
#include <thread>
#include <utility>

namespace crankspur {

/// Owns an event loop and, once started, the thread that runs it; or posts to a loop that the caller runs.
class EventLoopThread {
public:
  EventLoopThread()
      : owned_context_(std::make_unique<boost::asio::io_context>(1)),
        context_(*owned_context_),
        work_guard_(boost::asio::make_work_guard(context_)) {}
  /// Uses an event loop that the caller runs and stops; it must outlive this object.
  explicit EventLoopThread(boost::asio::io_context& shared)
      : context_(shared), work_guard_(boost::asio::make_work_guard(context_)) {}
  EventLoopThread(const EventLoopThread&) = delete;
  EventLoopThread& operator=(const EventLoopThread&) = delete;
  ~EventLoopThread() { stop(); }
  /// Starts the thread; has no effect on a shared loop.
  void start() {
    if (owned_context_) thread_ = std::thread([this] { context_.run(); });
  }
  /// Stops the loop, discarding pending handlers, and joins the thread. Idempotent. Has no effect on a shared
  /// loop.
  void stop() {
    if (owned_context_) owned_context_->stop();
    if (thread_.joinable()) thread_.join();
  }
  /// Runs `work` on the loop's thread; may be called from any thread.
  template <typename Work>
  void post(Work work) {
    boost::asio::post(context_, std::move(work));
  }
  boost::asio::io_context::executor_type executor() { return context_.get_executor(); }

private:
  std::unique_ptr<boost::asio::io_context> owned_context_;
  boost::asio::io_context& context_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_guard_;
  std::thread thread_;
};

}  // namespace crankspur
