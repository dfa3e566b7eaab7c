#pragma once
/// @file Internal to this package: runs one Gateway with real sockets, a clock and timers on one thread.

#include <absl/container/flat_hash_map.h>

#include <atomic>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <mutex>

#include "base/byte_budget.h"
#include "gateway/gateway.h"
#include "gateway_process/gateway_process.h"
#include "http/client.h"
#include "http/server.h"

namespace crankspur::gateway {

/// Event loop of the traffic thread. Functions run on the executor's thread unless stated otherwise.
class TrafficLoop {
public:
  TrafficLoop(const GatewayProcessSettings& settings, std::shared_ptr<const Dialect> dialect,
              TrafficCallbacks callbacks, RequestObserver& observer, boost::asio::any_io_executor executor);

  /// Starts to listen. Call it before the thread starts.
  std::error_code listen();
  std::uint16_t port() const { return server_->port(); }

  void onSnapshot(std::shared_ptr<const GatewaySnapshot> snapshot);
  void onCachedParts(const CachedPartsUpdate& update);
  void onPeerLoad(const std::vector<LoadDigest>& digests);
  void onCrashUpdate(const CrashUpdate& update);
  void onStreamOrigins(const std::string& sender, const StreamOrigins& message);
  void onBuildsConfirmed(const ConfirmedBuilds& confirmed);
  /// Closes idle connections to back ends. Retryable requests on other connections soon move to another back
  /// end.
  void onConnectionsSilent();
  void drain(const DrainTimes& times);
  void stopAccepting() { server_->stopAccepting(); }
  /// Ends all requests, as responses that are incomplete or tell that they may have run.
  void endRequests();
  void closeIdleConnections() { server_->closeIdle(); }

  /// May be called from any thread.
  std::size_t inFlight() const { return in_flight_.load(); }
  /// May be called from any thread.
  GatewayCounters counters() const;

private:
  /// A client's request whose response has not ended.
  struct Client {
    std::shared_ptr<const http::Request> request;
    std::string request_id;
    std::shared_ptr<http::ResponseWriter> writer;
    ExchangeId paused_exchange = 0;  ///< Not read further until the client has read; 0: none.
  };
  /// An exchange whose events are still forwarded to the gateway.
  struct ActiveExchange {
    ClientId client = 0;
    std::shared_ptr<http::Exchange> exchange;
    int status = 0;
    http::Headers headers;
    http::BodyFraming framing = http::BodyFraming::Length;
    std::string body;      ///< Buffered until the gateway decides what to do with it.
    ByteReservation held;  ///< For `body`, and then for the incomplete event of a stream.
    bool large = false;
  };

  TimePoint now() const { return clock_.now(); }
  void onRequest(http::Request request, std::shared_ptr<http::ResponseWriter> writer);
  void executeActions();
  void armTimer();
  void countInFlight();
  void pollDrain();

  IncomingRequest readHead(const http::Request& request) const;
  http::BodyUse bodyUse(const http::Request& head) const;
  std::size_t maxUnreadBytes() const;
  void pauseWhileUnread(Client& client, ExchangeId exchange);
  void onClientRead(ClientId id);
  void onUnreadableRequest(const http::RejectedRequest& unread);
  void scheduleLoadDigest();
  void scheduleCrashUpdate();
  void scheduleStreamOrigins();
  void sendLoadDigest();
  void recordRequest();
  void onMeterTick(TimePoint due);

  void execute(const Refuse& action);
  void execute(const Dispatch& action);
  void execute(const RelayToPeer& action);
  void execute(const CancelExchange& action);
  void execute(const RecallUnsent& action);
  void execute(const DiscardResponse& action);
  void execute(const ForwardResponse& action);
  void execute(const ForwardHead& action);
  void execute(ForwardBytes& action);
  void execute(const EndResponse& action);
  void execute(const AbortResponse& action);
  void execute(const ReportUnreachable& action);
  void execute(const ReportWrongBackend& action);
  void execute(const ProbeBackend& action);
  void execute(const ConfirmBuilds& action);
  void onProbeResult(std::uint64_t probe, ProbeOutcome outcome);

  ActiveExchange& addExchange(ExchangeId exchange, ClientId client);
  http::ExchangeCallbacks exchangeCallbacks(ExchangeId exchange, const std::string& request_id);
  void onHead(ExchangeId exchange, const std::string& request_id, const http::Response& head,
              http::BodyFraming framing);
  void onData(ExchangeId exchange, std::string_view bytes);
  void onDone(ExchangeId exchange, std::error_code error, http::SendState state);
  static bool hold(ActiveExchange& exchange, std::size_t bytes);
  void holdIncompleteEvent(ExchangeId exchange);
  Client* findClient(ClientId client);

  GatewayProcessSettings settings_;
  std::shared_ptr<const Dialect> dialect_;
  TrafficCallbacks callbacks_;
  SteadyClock clock_;
  boost::asio::any_io_executor executor_;
  const std::shared_ptr<ByteBudget> budget_;  ///< Null: no limit.
  Gateway gateway_;
  std::unique_ptr<http::Server> server_;
  std::unique_ptr<http::Client> http_;
  boost::asio::steady_timer timer_;
  TimePoint timer_at_ = TimePoint::max();
  boost::asio::steady_timer drain_timer_;
  boost::asio::steady_timer load_digest_timer_;
  bool load_digest_scheduled_ = false;   ///< load_digest_timer_ is armed.
  bool sent_load_ = false;               ///< The last digest sent was not empty.
  bool crash_update_scheduled_ = false;  ///< crash_timer_ is armed.
  boost::asio::steady_timer crash_timer_;
  bool stream_origins_scheduled_ = false;  ///< stream_origins_timer_ is armed.
  boost::asio::steady_timer stream_origins_timer_;
  LoadMeter meter_;
  boost::asio::steady_timer meter_timer_;
  bool meter_active_ = false;  ///< meter_timer_ is armed.
  ClientId next_client_ = 1;
  absl::flat_hash_map<ClientId, Client> clients_;
  absl::flat_hash_map<ExchangeId, ActiveExchange> exchanges_;
  absl::flat_hash_map<std::uint64_t, std::shared_ptr<http::Exchange>> probes_;
  std::shared_ptr<const Configuration> configuration_;
  bool executing_actions_ = false;
  std::atomic<std::size_t> in_flight_ = 0;
  mutable std::mutex counters_mutex_;
  GatewayCounters counters_;
};

}  // namespace crankspur::gateway
