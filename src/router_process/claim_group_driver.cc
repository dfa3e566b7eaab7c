#include "router_process/claim_group_driver.h"

#include <utility>

#include "router/zone_sharing.h"
#include "table_service/row_codec.h"

namespace crankspur {

namespace {

constexpr Duration kTickInterval = std::chrono::milliseconds(100);
/// Number of routers that manage the group's row; the others do not access the table.
constexpr std::uint32_t kManagingRouters = 2;
constexpr char kGroupName[] = "claim_group";

}  // namespace

ClaimGroupDriver::ClaimGroupDriver(const boost::asio::any_io_executor& executor, const MemberRecord& self,
                                   const std::string& table_address, ClaimGroupDriverCallbacks callbacks,
                                   EventLog& log, std::uint64_t random_seed)
    : name_(self.name),
      callbacks_(std::move(callbacks)),
      log_(log),
      http_(http::makeClient(executor)),
      service_({self.address, random_seed}, RandomSource(random_seed).bits()),
      timer_(executor) {
  if (table_address.empty()) return;
  ServiceOptions service;
  service.address = table_address;
  table_ = makeTableClient(executor, *http_, clock_, service);
}

ClaimGroupDriver::~ClaimGroupDriver() = default;

void ClaimGroupDriver::configure(const ClaimGroupSettings& settings) {
  service_.configure(settings, clock_.now());
}

void ClaimGroupDriver::tick() {
  updateRouters();
  service_.tick(clock_.now());
  executeActions();
  timer_.expires_after(kTickInterval);
  timer_.async_wait([this](boost::system::error_code error) {
    if (!error) tick();
  });
}

void ClaimGroupDriver::updateRouters() {
  std::vector<ClaimGroupCandidate> routers;
  std::vector<std::string> names;
  for (const MemberRecord& member : callbacks_.routers()) {
    if (member.state != MemberState::Alive) continue;
    routers.push_back({member.address, member.zone});
    names.push_back(member.name);
  }
  std::optional<std::uint32_t> rank;
  for (std::uint32_t position = 0; table_ && position < kManagingRouters && !names.empty(); ++position) {
    const std::string owner = ownerOf(kGroupName, names);
    if (owner == name_) rank = position;
    std::erase(names, owner);
  }
  service_.setRouters(std::move(routers), rank);
}

void ClaimGroupDriver::begin(std::size_t shard, const GroupClaimRequest& request) {
  GroupClaimRequest group_request = request;
  group_request.claim = next_claim_++;
  pending_claims_[group_request.claim] = PendingClaim{shard, request.claim};
  service_.begin(group_request, clock_.now());
  executeActions();
}

void ClaimGroupDriver::notice(const GroupClaimNotice& notice) {
  if (const auto* release = std::get_if<ClaimRelease>(&notice.notice)) {
    service_.release(release->key, release->token, clock_.now());
  } else {
    service_.record(std::get<ClaimRecord>(notice.notice), clock_.now());
  }
  executeActions();
}

void ClaimGroupDriver::onGroupFound() {
  service_.onGroupFound();
  executeActions();
}

void ClaimGroupDriver::onMessage(const Message& message, const std::string& from) {
  service_.onMessage(message, from, clock_.now());
  executeActions();
}

void ClaimGroupDriver::executeActions() {
  for (const ClaimGroupAction& action : service_.takeActions()) execute(action);
  reportChanges();
}

void ClaimGroupDriver::execute(const ClaimGroupAction& action) {
  if (const auto* message = std::get_if<SendClaimMessage>(&action)) {
    callbacks_.send(message->address, message->message);
  } else if (std::holds_alternative<ReadGroupRow>(action)) {
    readRow();
  } else if (const auto* swap = std::get_if<SwapGroupRow>(&action)) {
    swapRow(*swap);
  } else if (const auto* put = std::get_if<PutClaimRow>(&action)) {
    putClaim(*put);
  } else if (const auto* decided = std::get_if<GroupClaimDecided>(&action)) {
    const auto found = pending_claims_.find(decided->claim);
    if (found == pending_claims_.end()) return;
    const PendingClaim pending = found->second;
    pending_claims_.erase(found);
    callbacks_.on_decided(pending.shard, pending.claim, decided->decision);
  }
}

void ClaimGroupDriver::readRow() {
  if (!table_) return;
  table_->read(kClaimGroupRowKey, [this](const ReadResult& result) {
    const auto* row = std::get_if<TableRow>(&result);
    service_.onRowRead(row != nullptr ? decodeClaimGroupRow(*row) : std::nullopt, clock_.now());
    executeActions();
  });
}

void ClaimGroupDriver::swapRow(const SwapGroupRow& swap) {
  if (!table_) return;
  table_->compareAndSet(kClaimGroupRowKey, swap.expected_version, encodeClaimGroupRow(swap.row),
                        [this](const TransactionResult& result) {
                          std::optional<bool> committed;
                          if (std::holds_alternative<TransactionCommitted>(result)) committed = true;
                          if (std::holds_alternative<TransactionConflict>(result)) committed = false;
                          service_.onRowSwapped(committed, clock_.now());
                          executeActions();
                        });
}

void ClaimGroupDriver::putClaim(const PutClaimRow& put) {
  if (!table_) return;
  table_->compareAndSet(put.key, put.expected_version, encodeClaimRow(put.row),
                        [this, put](const TransactionResult& result) { onClaimPut(put, result); });
}

void ClaimGroupDriver::onClaimPut(const PutClaimRow& put, const TransactionResult& result) {
  std::optional<ClaimRow> current_row;
  const auto* conflict = std::get_if<TransactionConflict>(&result);
  if (std::holds_alternative<TransactionCommitted>(result)) {
    current_row = put.row;
    current_row->row_version = put.expected_version + 1;
  } else if (conflict != nullptr && !conflict->rows.empty()) {
    current_row = decodeClaimRow(conflict->rows.front());
  }
  service_.onClaimPut(put.key, current_row, clock_.now());
  executeActions();
}

void ClaimGroupDriver::reportChanges() {
  const ClaimGroupStatus current = status();
  if (current.row.epoch != logged_epoch_) {
    logged_epoch_ = current.row.epoch;
    log_.write(
        EventId::ClaimGroupChanged,
        {{"epoch", current.row.epoch}, {"members", static_cast<std::uint64_t>(current.row.members.size())}});
  }
  if (current.voting != std::exchange(logged_voting_, current.voting)) {
    log_.write(current.voting ? EventId::ClaimVotingBegun : EventId::ClaimVotingEnded,
               {{"epoch", current.row.epoch}, {"claims", static_cast<std::uint64_t>(current.votes)}});
  }
  if (inForce() != std::exchange(reported_in_force_, inForce())) callbacks_.on_in_force_changed();
}

}  // namespace crankspur
