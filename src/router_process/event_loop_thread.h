#pragma once
/// @file A thread that runs one Asio event loop.

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <memory>
#include <thread>
#include <utility>

namespace crankspur {

/// An event loop and, once started, the one thread that runs it; or a loop that someone else runs.
class EventLoopThread {
public:
  EventLoopThread()
      : own_(std::make_unique<boost::asio::io_context>(1)),
        context_(*own_),
        work_(boost::asio::make_work_guard(context_)) {}
  /// Uses a loop that others run and stop; it must outlive this object.
  explicit EventLoopThread(boost::asio::io_context& shared)
      : context_(shared), work_(boost::asio::make_work_guard(context_)) {}
  EventLoopThread(const EventLoopThread&) = delete;
  EventLoopThread& operator=(const EventLoopThread&) = delete;
  ~EventLoopThread() { stop(); }
  /// Starts the thread; a shared loop is left alone.
  void start() {
    if (own_) thread_ = std::thread([this] { context_.run(); });
  }
  /// Ends the loop without regard to what waits in it, and joins the thread. Idempotent. A shared loop is
  /// left alone.
  void stop() {
    if (own_) own_->stop();
    if (thread_.joinable()) thread_.join();
  }
  /// Runs `work` on the loop's thread; may be called from any thread.
  template <typename Work>
  void post(Work work) {
    boost::asio::post(context_, std::move(work));
  }
  boost::asio::io_context::executor_type executor() { return context_.get_executor(); }

private:
  std::unique_ptr<boost::asio::io_context> own_;
  boost::asio::io_context& context_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
  std::thread thread_;
};

}  // namespace crankspur
