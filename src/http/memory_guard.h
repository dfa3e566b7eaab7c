#pragma once
/// @file Keeps the connections of a server within its byte budget: asks BodyAdmission which bodies are read,
/// and disconnects clients that do not read their responses. Internal to this package; include only from .cc
/// files.

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "http/body_admission.h"
#include "http/server.h"

namespace crankspur::http {

class ServerSession;

/// See the file comment. Sessions call it on the executor thread of the server.
class MemoryGuard : public std::enable_shared_from_this<MemoryGuard> {
public:
  /// @param sessions returns the open connections.
  MemoryGuard(const boost::asio::any_io_executor& executor, std::shared_ptr<ByteBudget> budget,
              std::function<std::vector<std::shared_ptr<ServerSession>>()> sessions);

  const std::shared_ptr<ByteBudget>& budget() const { return budget_; }
  void setPressureHandler(std::function<void(const MemoryPressure&)> handler) {
    on_pressure_ = std::move(handler);
  }

  /// The session is about to read a body. If it has to wait, onBodyAdmitted() or rejectBody() of the session
  /// is called later.
  /// @return the id of the body for the other functions, and the decision.
  std::pair<BodyId, BodyDecision> request(const std::shared_ptr<ServerSession>& session, std::size_t bytes,
                                          bool identified);
  bool grow(BodyId body, std::size_t bytes) { return admission_.grow(body, bytes); }
  void onReceived(BodyId body, std::size_t total) { admission_.onReceived(body, total, clock_.now()); }
  /// The body is complete, or is not read further.
  ByteReservation remove(BodyId body);
  /// A request was rejected because the budget has no room for it.
  void onRejected();
  /// To be called when bytes were queued that clients have to read.
  void onQueued();
  void stop();

private:
  void schedulePoll();
  void poll();
  void disconnectIdleReader();
  std::shared_ptr<ServerSession> find(BodyId body) const;
  void beginPressure();
  void endPressure();

  boost::asio::steady_timer timer_;
  std::shared_ptr<ByteBudget> budget_;
  std::function<std::vector<std::shared_ptr<ServerSession>>()> sessions_;
  std::function<void(const MemoryPressure&)> on_pressure_;
  SteadyClock clock_;
  BodyAdmission admission_;
  BodyId next_body_ = 1;
  std::map<BodyId, std::weak_ptr<ServerSession>> bodies_;
  bool poll_scheduled_ = false;
  bool stopped_ = false;
  MemoryPressure pressure_;       ///< Since it began.
  TimePoint pressure_seen_at_{};  ///< When a request was last delayed or rejected.
};

}  // namespace crankspur::http
