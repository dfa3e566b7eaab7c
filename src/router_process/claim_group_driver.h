#pragma once
/// @file Carries the claim group's messages, table calls and decisions for ClaimGroupService. Lives on the
/// control thread.

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

/// What the driver asks its owner.
struct ClaimGroupDriverCallbacks {
  std::function<void(const std::string& address, const Message&)> send;
  /// `shard` is the one that asked.
  std::function<void(std::size_t shard, std::uint64_t claim, const GroupClaimDecision&)> decided;
  std::function<std::vector<MemberRecord>()> routers;  ///< Live ones, this router included.
  std::function<void()> force_changed;                 ///< ClaimGroupService::inForce() changed.
};

/// The driver.
class ClaimGroupDriver {
public:
  /// @param self this router's record; `random_seed` also makes its incarnation in the group, so that no
  /// clock can make two processes at one address the same member.
  /// @param table_address empty: there is no table service; no group begins and none is found but from peers.
  ClaimGroupDriver(const boost::asio::any_io_executor& executor, const MemberRecord& self,
                   const std::string& table_address, ClaimGroupDriverCallbacks callbacks, EventLog& log,
                   std::uint64_t random_seed);
  ~ClaimGroupDriver();

  void start() { tick(); }
  void configure(const ClaimGroupSettings& settings);
  void begin(std::size_t shard, const GroupClaimRequest& request);
  void notice(const GroupClaimNotice& notice);
  /// A claim write found the group's row.
  void onGroupFound();
  void onMessage(const Message& message, const std::string& from);
  bool inForce() const { return service_.inForce(); }
  ClaimGroupStatus status() const { return service_.status(clock_.now()); }

private:
  struct Asked {
    std::size_t shard = 0;
    std::uint64_t claim = 0;
  };

  void tick();
  void takeRouters();
  void pump();
  void perform(const ClaimGroupAction& action);
  void readRow();
  void swapRow(const SwapGroupRow& swap);
  void putClaim(const PutClaimRow& put);
  void onClaimPut(const PutClaimRow& put, const TransactionResult& result);
  void noteChanges();

  std::string name_;
  ClaimGroupDriverCallbacks callbacks_;
  EventLog& log_;
  SteadyClock clock_;
  std::unique_ptr<http::Client> http_;
  std::unique_ptr<TableClient> table_;
  ClaimGroupService service_;
  std::map<std::uint64_t, Asked> asked_;
  std::uint64_t next_asked_ = 1;
  boost::asio::steady_timer timer_;
  bool in_force_ = false;
  std::uint64_t known_epoch_ = 0;
  bool voting_ = false;
};

}  // namespace crankspur
