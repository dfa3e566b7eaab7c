#pragma once
/// @file Serves an EngineModel over HTTP: drives its timers, streams its outputs, queries the weight store
/// and the sources of KV blocks. Runs on a single executor thread.

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/event_log.h"
#include "http/client.h"
#include "http/server.h"
#include "standins/engine/engine_model.h"
#include "standins/engine_server/engine_codec.h"

namespace crankspur::standin {

/// Addresses of the servers that the engine calls; one that is empty is not called.
struct EngineServerOptions {
  std::string weight_store;
  std::string kv_store;                                     ///< Receives the blocks of each prefilled prompt.
  Duration default_weights_load = std::chrono::seconds(8);  ///< Used without a weight store.
};

/// HTTP server of one engine.
class EngineServer {
public:
  EngineServer(const boost::asio::any_io_executor& executor, EngineModel& model, const Clock& clock,
               EventLog& log, EngineServerOptions options);

  /// Listens on "IP:port".
  std::error_code start(const std::string& address);
  std::uint16_t port() const { return server_->port(); }
  /// Refuses new requests; calls `on_idle` once all openStream requests have been answered.
  void stop(std::function<void()> on_idle);

private:
  using Writer = std::shared_ptr<http::ResponseWriter>;

  /// A pending GET /v1/cache_events.
  struct LongPoll {
    std::uint64_t after = 0;
    std::uint64_t incarnation = 0;
    TimePoint deadline;
    Writer writer;
  };
  struct Stream {
    Writer writer;
    bool head_sent = false;
  };
  struct BufferedRequest {
    http::Request request;
    Writer writer;
  };

  void handle(const http::Request& request, const Writer& writer);
  void dispatch(const http::Request& request, const Writer& writer);
  void dispatchGet(const http::Request& request, const Writer& writer);
  void dispatchPost(const http::Request& request, const Writer& writer);
  void control(const http::Request& request, const Writer& writer);
  void apply(EngineAction action);
  void completions(const http::Request& request, const Writer& writer);
  void resume(const http::Request& request, const Writer& writer);
  void cancel(const http::Request& request, const Writer& writer);
  void order(const http::Request& request, const Writer& writer);
  void exportBlocks(const http::Request& request, const Writer& writer);
  void cacheEvents(const http::Request& request, const Writer& writer);
  void cacheDigest(const Writer& writer);
  StreamId openStream(const Writer& writer);

  /// Executes the outputs of the model, completes long polls and arms the timers.
  void processOutputs();
  void execute(const StreamOutput& output);
  void execute(const ImportQuery& query);
  void execute(const WeightsQuery& query);
  void execute(const BlocksComputed& computed);
  void writeEvent(StreamId id, Stream& stream, std::string text);
  void endStream(StreamId id);
  void completeLongPolls();
  void armTimers();
  void checkIdle();

  boost::asio::any_io_executor executor_;
  EngineModel& model_;
  const Clock& clock_;
  EventLog& log_;
  EngineServerOptions options_;
  TimePoint started_;
  std::unique_ptr<http::Client> client_;
  std::unique_ptr<http::Server> server_;
  boost::asio::steady_timer model_timer_;
  boost::asio::steady_timer long_poll_timer_;
  boost::asio::steady_timer idle_timer_;
  std::map<StreamId, Stream> streams_;
  std::list<LongPoll> long_polls_;
  std::vector<BufferedRequest> buffered_;  ///< Received while the engine was frozen.
  StreamId last_stream_ = 0;
  std::function<void()> on_idle_;
};

}  // namespace crankspur::standin
