#pragma once
/// @file Runs ClaimGroupService on real connections: sends its messages, makes its table calls and delivers
/// its decisions. Runs on the control thread.

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/event_log.h"
#include "claim/claim_group_service.h"
#include "http/client.h"
#include "membership/membership.h"
#include "router/request_router.h"
#include "table_service/table_client.h"

namespace crankspur {

/// Queries and notifications to the owner of the driver.
struct ClaimGroupDriverCallbacks {
  std::function<void(const std::string& address, const Message&)> send;
  /// A claim was decided. `shard`: the traffic shard that requested it.
  std::function<void(std::size_t shard, std::uint64_t claim, const GroupClaimDecision&)> on_decided;
  std::function<std::vector<MemberRecord>()> routers;  ///< Live routers, including this one.
  std::function<void()> on_in_force_changed;           ///< ClaimGroupService::inForce() changed.
};

/// See the file comment.
class ClaimGroupDriver {
public:
  /// @param self this router's record.
  /// @param table_address empty: there is no table service; this router starts no group and only learns of
  /// one from peers.
  /// @param random_seed also determines the incarnation in the group. It is random rather than a clock
  /// reading, so that two processes at one address can never count as the same member.
  ClaimGroupDriver(const boost::asio::any_io_executor& executor, const MemberRecord& self,
                   const std::string& table_address, ClaimGroupDriverCallbacks callbacks, EventLog& log,
                   std::uint64_t random_seed);
  ~ClaimGroupDriver();

  void start() { tick(); }
  void configure(const ClaimGroupSettings& settings);
  void begin(std::size_t shard, const GroupClaimRequest& request);
  void notice(const GroupClaimNotice& notice);
  /// A claim write detected the group's row in the table.
  void onGroupFound();
  void onMessage(const Message& message, const std::string& from);
  bool inForce() const { return service_.inForce(); }
  ClaimGroupStatus status() const { return service_.status(clock_.now()); }

private:
  /// A claim that a traffic shard requested.
  struct PendingClaim {
    std::size_t shard = 0;
    std::uint64_t claim = 0;
  };

  void tick();
  void updateRouters();
  void executeActions();
  void execute(const ClaimGroupAction& action);
  void readRow();
  void swapRow(const SwapGroupRow& swap);
  void putClaim(const PutClaimRow& put);
  void onClaimPut(const PutClaimRow& put, const TransactionResult& result);
  void reportChanges();

  std::string name_;
  ClaimGroupDriverCallbacks callbacks_;
  EventLog& log_;
  SteadyClock clock_;
  std::unique_ptr<http::Client> http_;
  std::unique_ptr<TableClient> table_;
  ClaimGroupService service_;
  std::map<std::uint64_t, PendingClaim> pending_claims_;
  std::uint64_t next_claim_ = 1;
  boost::asio::steady_timer timer_;
  bool reported_in_force_ = false;
  std::uint64_t logged_epoch_ = 0;
  bool logged_voting_ = false;
};

}  // namespace crankspur
