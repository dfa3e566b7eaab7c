#include "router_process/claim_group_driver.h"

#include <utility>

#include "router/zone_sharing.h"
#include "table_service/row_codec.h"

namespace crankspur {

namespace {

constexpr Duration kTick = std::chrono::milliseconds(100);
/// Routers that keep the group; the others leave the table alone.
constexpr std::uint32_t kKeepers = 2;
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
  takeRouters();
  service_.tick(clock_.now());
  pump();
  timer_.expires_after(kTick);
  timer_.async_wait([this](boost::system::error_code error) {
    if (!error) tick();
  });
}

void ClaimGroupDriver::takeRouters() {
  std::vector<ClaimGroupCandidate> routers;
  std::vector<std::string> names;
  for (const MemberRecord& member : callbacks_.routers()) {
    if (member.state != MemberState::Alive) continue;
    routers.push_back({member.address, member.zone});
    names.push_back(member.name);
  }
  std::optional<std::uint32_t> rank;
  for (std::uint32_t place = 0; table_ && place < kKeepers && !names.empty(); ++place) {
    const std::string first = ownerOf(kGroupName, names);
    if (first == name_) rank = place;
    std::erase(names, first);
  }
  service_.setRouters(std::move(routers), rank);
}

void ClaimGroupDriver::begin(std::size_t shard, const GroupClaimRequest& request) {
  GroupClaimRequest asked = request;
  asked.claim = next_asked_++;
  asked_[asked.claim] = Asked{shard, request.claim};
  service_.begin(asked, clock_.now());
  pump();
}

void ClaimGroupDriver::notice(const GroupClaimNotice& notice) {
  if (const auto* release = std::get_if<ClaimRelease>(&notice.notice)) {
    service_.release(release->key, release->token, clock_.now());
  } else {
    service_.record(std::get<ClaimRecord>(notice.notice), clock_.now());
  }
  pump();
}

void ClaimGroupDriver::onGroupFound() {
  service_.onGroupFound();
  pump();
}

void ClaimGroupDriver::onMessage(const Message& message, const std::string& from) {
  service_.onMessage(message, from, clock_.now());
  pump();
}

void ClaimGroupDriver::pump() {
  for (const ClaimGroupAction& action : service_.takeActions()) perform(action);
  noteChanges();
}

void ClaimGroupDriver::perform(const ClaimGroupAction& action) {
  if (const auto* message = std::get_if<SendClaimMessage>(&action)) {
    callbacks_.send(message->address, message->message);
  } else if (std::holds_alternative<ReadGroupRow>(action)) {
    readRow();
  } else if (const auto* swap = std::get_if<SwapGroupRow>(&action)) {
    swapRow(*swap);
  } else if (const auto* put = std::get_if<PutClaimRow>(&action)) {
    putClaim(*put);
  } else if (const auto* decided = std::get_if<GroupClaimDecided>(&action)) {
    const auto found = asked_.find(decided->claim);
    if (found == asked_.end()) return;
    const Asked asked = found->second;
    asked_.erase(found);
    callbacks_.decided(asked.shard, asked.claim, decided->decision);
  }
}

void ClaimGroupDriver::readRow() {
  if (!table_) return;
  table_->read(kClaimGroupRowKey, [this](const ReadResult& result) {
    const auto* row = std::get_if<TableRow>(&result);
    service_.onRowRead(row != nullptr ? decodeClaimGroupRow(*row) : std::nullopt, clock_.now());
    pump();
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
                          pump();
                        });
}

void ClaimGroupDriver::putClaim(const PutClaimRow& put) {
  if (!table_) return;
  table_->compareAndSet(put.key, put.expected_version, encodeClaimRow(put.row),
                        [this, put](const TransactionResult& result) { onClaimPut(put, result); });
}

void ClaimGroupDriver::onClaimPut(const PutClaimRow& put, const TransactionResult& result) {
  std::optional<ClaimRow> present;
  const auto* conflict = std::get_if<TransactionConflict>(&result);
  if (std::holds_alternative<TransactionCommitted>(result)) {
    present = put.row;
    present->row_version = put.expected_version + 1;
  } else if (conflict != nullptr && !conflict->rows.empty()) {
    present = decodeClaimRow(conflict->rows.front());
  }
  service_.onClaimPut(put.key, present, clock_.now());
  pump();
}

void ClaimGroupDriver::noteChanges() {
  const ClaimGroupStatus now = status();
  if (now.row.epoch != known_epoch_) {
    known_epoch_ = now.row.epoch;
    log_.write(EventId::ClaimGroupChanged,
               {{"epoch", now.row.epoch}, {"members", static_cast<std::uint64_t>(now.row.members.size())}});
  }
  if (now.voting != std::exchange(voting_, now.voting)) {
    log_.write(now.voting ? EventId::ClaimVotingBegun : EventId::ClaimVotingEnded,
               {{"epoch", now.row.epoch}, {"claims", static_cast<std::uint64_t>(now.votes)}});
  }
  if (inForce() != std::exchange(in_force_, inForce())) callbacks_.force_changed();
}

}  // namespace crankspur
