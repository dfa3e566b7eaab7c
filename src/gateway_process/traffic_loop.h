#pragma once
/// @file Internal to this package: drives one Gateway with real sockets, a clock and a timer, on one thread.

#include <absl/container/flat_hash_map.h>

#include <atomic>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <mutex>

#include "gateway/gateway.h"
#include "gateway_process/gateway_process.h"
#include "http/client.h"
#include "http/server.h"

namespace crankspur::gateway {

/// All of it runs on the executor's thread, but for the functions that say otherwise.
class TrafficLoop {
public:
  TrafficLoop(const GatewayProcessSettings& settings, std::shared_ptr<const Dialect> dialect,
              GatewayFacts facts, RequestObserver& observer, boost::asio::any_io_executor executor);

  /// To be called before the thread starts.
  std::error_code listen();
  std::uint16_t port() const { return server_->port(); }

  void onSnapshot(std::shared_ptr<const GatewaySnapshot> snapshot);
  void onCachedParts(const CachedPartsUpdate& news);
  void onPeerLoad(const std::vector<LoadDigest>& digests);
  void onCrashUpdate(const CrashUpdate& news) { gateway_.onCrashUpdate(news, now()); }
  /// Closes kept connections to back ends; requests on others that may be repeated move soon.
  void onConnectionsSilent();
  void drain();
  void stopAccepting() { server_->stopAccepting(); }
  void closeIdleConnections() { server_->closeIdle(); }

  /// From any thread.
  std::size_t inFlight() const { return in_flight_.load(); }
  /// From any thread.
  GatewayCounters counters() const;

private:
  /// A client's request whose answer has not ended.
  struct Client {
    std::shared_ptr<const http::Request> request;
    std::string request_id;
    std::shared_ptr<http::ResponseWriter> writer;
  };
  /// An exchange that the gateway still hears of.
  struct Running {
    ClientId client = 0;
    std::shared_ptr<http::Exchange> exchange;
    int status = 0;
    http::Headers headers;
    std::string body;  ///< Kept until the gateway says what becomes of it.
    bool large = false;
  };

  TimePoint now() const { return clock_.now(); }
  void onRequest(http::Request request, std::shared_ptr<http::ResponseWriter> writer);
  void pump();
  void armTimer();
  void countInFlight();
  void watchDrain();

  void onUnreadableRequest(const http::RejectedRequest& unread);
  void tellWorkSoon();
  void tellCrashesSoon();
  void tellWork();
  void meterRequest();
  void meterTick(TimePoint due);

  void carryOut(const Refuse& action);
  void carryOut(const Dispatch& action);
  void carryOut(const CancelExchange& action);
  void carryOut(const DiscardResponse& action);
  void carryOut(const ForwardResponse& action);
  void carryOut(const ForwardHead& action);
  void carryOut(ForwardBytes& action);
  void carryOut(const EndResponse& action);
  void carryOut(const AbortResponse& action);
  void carryOut(const ReportUnreachable& action);
  void carryOut(const ReportWrongBackend& action);
  void carryOut(const ProbeBackend& action);
  void onProbeResult(std::uint64_t probe, bool answered);

  http::ExchangeCallbacks callbacksOf(ExchangeId exchange, const std::string& request_id);
  void onHead(ExchangeId exchange, const std::string& request_id, int status, const http::Headers& headers);
  void onData(ExchangeId exchange, std::string_view bytes);
  void onDone(ExchangeId exchange, std::error_code error, http::SendState state);
  Client* findClient(ClientId client);

  GatewayProcessSettings settings_;
  std::shared_ptr<const Dialect> dialect_;
  GatewayFacts facts_;
  SteadyClock clock_;
  boost::asio::any_io_executor executor_;
  Gateway gateway_;
  std::unique_ptr<http::Server> server_;
  std::unique_ptr<http::Client> http_;
  boost::asio::steady_timer timer_;
  TimePoint timer_at_ = TimePoint::max();
  boost::asio::steady_timer drain_timer_;
  boost::asio::steady_timer work_timer_;
  bool work_waiting_ = false;     ///< work_timer_ is armed.
  bool told_work_ = false;        ///< The last digest was not empty.
  bool crashes_waiting_ = false;  ///< crash_timer_ is armed.
  boost::asio::steady_timer crash_timer_;
  LoadMeter meter_;
  boost::asio::steady_timer meter_timer_;
  bool metering_ = false;  ///< meter_timer_ is armed.
  ClientId next_client_ = 1;
  absl::flat_hash_map<ClientId, Client> clients_;
  absl::flat_hash_map<ExchangeId, Running> running_;
  absl::flat_hash_map<std::uint64_t, std::shared_ptr<http::Exchange>> probes_;
  std::shared_ptr<const Configuration> configuration_;
  bool pumping_ = false;
  std::atomic<std::size_t> in_flight_ = 0;
  mutable std::mutex counters_mutex_;
  GatewayCounters counters_;
};

}  // namespace crankspur::gateway
