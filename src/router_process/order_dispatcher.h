#pragma once
/// @file Contends for the order lease and, while it holds the lease, sends the orders of the roll-out with
/// its fencing token. Runs on the control thread.

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>

#include "base/event_log.h"
#include "engine/engine_client.h"
#include "http/client.h"
#include "lease/lease.h"
#include "router/fleet_orders.h"
#include "table_service/table_client.h"

namespace crankspur {

/// Queries to the owner of the dispatcher.
struct OrderDispatcherCallbacks {
  std::function<std::shared_ptr<const Bundle>()> bundle;  ///< Null before the first bundle was accepted.
  std::function<std::vector<EngineView>()> engines;       ///< All engines of the fleet.
  std::function<bool()> may_contend;  ///< Whether this router is one of the contenders for the lease.
};

/// See the file comment.
class OrderDispatcher {
public:
  /// @param holder unique among all processes, also across their restarts.
  /// @param table_address empty: there is no table service and no orders are sent.
  OrderDispatcher(const boost::asio::any_io_executor& executor, std::string holder,
                  const std::string& table_address, EngineClient& engines, OrderDispatcherCallbacks callbacks,
                  EventLog& log, std::uint64_t random_seed);
  ~OrderDispatcher();
  void start();
  /// @return whether this router currently holds the lease.
  bool holdsLease() const { return lease_->heldToken(clock_.now()).has_value(); }

private:
  void tick();
  void pollLease(TimePoint now);
  void onRead(const ReadResult& result);
  void onWritten(const TransactionResult& result, LeaseRow written);
  void updateHolding(TimePoint now);
  void sendOrders(TimePoint now);
  void send(const FleetOrder& order, std::uint64_t token);

  SteadyClock clock_;
  EngineClient& engines_;
  OrderDispatcherCallbacks callbacks_;
  EventLog& log_;
  std::unique_ptr<http::Client> http_;
  std::unique_ptr<TableClient> table_;
  std::unique_ptr<Lease> lease_;
  FleetOrders orders_;
  boost::asio::steady_timer timer_;
  bool holding_ = false;
};

}  // namespace crankspur
