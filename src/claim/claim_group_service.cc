#include "claim/claim_group_service.h"

#include <algorithm>
#include <utility>

namespace crankspur {

namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

/// Interval between transmissions of one claim to members that have not responded.
constexpr Duration kPrepareResendInterval = milliseconds(250);
/// Mean delay before a claim is retried under another token.
constexpr Duration kRetryDelay = milliseconds(250);
/// Time to wait for the holder's recorded response before the decision is HeldByOther.
constexpr Duration kHolderWait = seconds(2);
/// Notifications are not acknowledged, so each is sent this many times at this interval.
constexpr std::uint32_t kNotificationSends = 2;
constexpr Duration kNotificationInterval = seconds(1);
/// Maximum number of notifications waiting to be sent again; beyond it the oldest is dropped.
constexpr std::size_t kMaxNotifications = 4096;
/// A router without the group's row queries this many routers at this interval.
constexpr std::size_t kRoutersQueried = 2;
constexpr Duration kRowRequestInterval = seconds(1);
constexpr Duration kExpiryInterval = seconds(10);
/// A claim that has had no table row for this long triggers a new epoch, which writes one.
constexpr Duration kUnwrittenAge = minutes(2);
/// Key lifetimes are extended by this fraction of the configured value, since clocks run at different rates.
constexpr std::int64_t kClockMarginDivisor = 16;

Duration withMargin(Duration lifetime) {
  return lifetime + lifetime / kClockMarginDivisor;
}

}  // namespace

ClaimGroupService::ClaimGroupService(ClaimGroupMember self, std::uint64_t random_seed)
    : self_(std::move(self)),
      random_(random_seed),
      voter_(self_, withMargin(settings_.key_lifetime)),
      manager_(self_.address + ":" + std::to_string(self_.incarnation) + ":" +
               std::to_string(random_.bits())) {
  settings_.key_lifetime = withMargin(settings_.key_lifetime);
}

void ClaimGroupService::configure(const ClaimGroupSettings& settings, TimePoint now) {
  settings_ = settings;
  settings_.key_lifetime = withMargin(settings.key_lifetime);
  manager_.configure(settings_);
  voter_.setKeyLifetime(settings_.key_lifetime, now);
}

void ClaimGroupService::setRouters(std::vector<ClaimGroupCandidate> routers,
                                   std::optional<std::uint32_t> rank) {
  routers_ = routers;
  // If no group is configured, there is nothing to maintain unless one already exists.
  const bool managed = settings_.size > 0 || row_.epoch > 0;
  manager_.setRouters(std::move(routers), managed ? rank : std::nullopt);
}

void ClaimGroupService::begin(const GroupClaimRequest& request, TimePoint now) {
  Claimant& claimant = claimants_[request.claim];
  claimant.request = request;
  startAttempt(claimant, now);
  deliverOwnMessages(now);
}

void ClaimGroupService::startAttempt(Claimant& claimant, TimePoint now) {
  const GroupClaimRequest& request = claimant.request;
  // A released token never receives a vote again, so each attempt uses its own token.
  const std::string token = request.token + "#" + std::to_string(++claimant.attempts);
  claimant.claim.emplace(request.key, token, row_, settings_.key_lifetime, request.deadline,
                         request.body_hash);
  claimant.epoch = row_.epoch;
  claimant.next_send = now + kPrepareResendInterval;
  for (const ClaimGroupMember& member : claimant.claim->unanswered()) {
    send(member.address, claimant.claim->prepare());
  }
}

void ClaimGroupService::countReply(const ClaimReply& reply, TimePoint now) {
  for (auto item = claimants_.begin(); item != claimants_.end(); ++item) {
    Claimant& claimant = item->second;
    if (!claimant.claim || claimant.claim->token() != reply.token) continue;
    claimant.claim->onReply(reply, now);
    if (finishIfDecided(claimant, now)) claimants_.erase(item);
    return;
  }
}

bool ClaimGroupService::finishIfDecided(Claimant& claimant, TimePoint now) {
  if (!claimant.claim || !claimant.claim->outcome()) return false;
  const GroupClaimOutcome outcome = *claimant.claim->outcome();
  if (outcome == GroupClaimOutcome::Granted || outcome == GroupClaimOutcome::GrantedForTable) {
    decide(claimant, outcome == GroupClaimOutcome::Granted ? GroupClaimDecision::Kind::Granted
                                                           : GroupClaimDecision::Kind::GrantedForTable);
    return true;
  }
  if (!row_.members.empty()) notify(claimant.claim->release(), now);
  if (outcome == GroupClaimOutcome::HeldByOther) return heldByOther(claimant, now);
  if (claimant.claim->outdated()) next_row_request_ = now;
  claimant.claim.reset();
  claimant.next_attempt = now + retryDelay();
  if (claimant.next_attempt < claimant.request.deadline) return false;
  // The last attempt was cut short, but an earlier one found a holder, whose work may have run.
  const bool held = claimant.holder_wait_until.has_value();
  decide(claimant, held ? GroupClaimDecision::Kind::HeldByOther : GroupClaimDecision::Kind::Unavailable);
  return true;
}

Duration ClaimGroupService::retryDelay() {
  // Jitter keeps two claimants that denied each other a majority from doing so again.
  return kRetryDelay / 2 + Duration(static_cast<Duration::rep>(random_.uniform(0, kRetryDelay.count())));
}

bool ClaimGroupService::heldByOther(Claimant& claimant, TimePoint now) {
  const GroupClaim& claim = *claimant.claim;
  if (claim.keyReused()) {
    decide(claimant, GroupClaimDecision::Kind::KeyReused);
    return true;
  }
  if (claim.recordedResult()) {
    decide(claimant, GroupClaimDecision::Kind::AlreadyDone, *claim.recordedResult());
    return true;
  }
  if (!claimant.holder_wait_until) {
    claimant.holder_wait_until = std::min(claimant.request.deadline, now + kHolderWait);
  }
  claimant.claim.reset();
  claimant.next_attempt = now + retryDelay();
  if (claimant.next_attempt < *claimant.holder_wait_until) return false;
  decide(claimant, GroupClaimDecision::Kind::HeldByOther);
  return true;
}

void ClaimGroupService::decide(const Claimant& claimant, GroupClaimDecision::Kind kind, std::string result) {
  GroupClaimDecision decision;
  decision.kind = kind;
  if (claimant.claim) decision.token = claimant.claim->token();
  decision.result = std::move(result);
  actions_.emplace_back(GroupClaimDecided{claimant.request.claim, std::move(decision)});
}

void ClaimGroupService::release(const std::string& key, const std::string& token, TimePoint now) {
  notify(ClaimRelease{row_.epoch, key, token}, now);
  deliverOwnMessages(now);
}

void ClaimGroupService::record(const ClaimRecord& record, TimePoint now) {
  notify(record, now);
  deliverOwnMessages(now);
}

void ClaimGroupService::notify(Message message, TimePoint now) {
  sendToMembers(message);
  notifications_.push_back(
      Notification{std::move(message), kNotificationSends - 1, now + kNotificationInterval});
  if (notifications_.size() > kMaxNotifications) notifications_.pop_front();
}

void ClaimGroupService::sendNotifications(TimePoint now) {
  // All have the same interval, so the first in the queue is due first.
  while (!notifications_.empty() && notifications_.front().next_send <= now) {
    Notification due = std::move(notifications_.front());
    notifications_.pop_front();
    sendToMembers(due.message);
    if (--due.sends_left == 0) continue;
    due.next_send = now + kNotificationInterval;
    notifications_.push_back(std::move(due));
  }
}

void ClaimGroupService::sendToMembers(const Message& message) {
  for (const ClaimGroupMember& member : row_.members) send(member.address, message);
}

void ClaimGroupService::send(const std::string& address, Message message) {
  if (address == self_.address) {
    own_messages_.push_back(std::move(message));
  } else {
    actions_.emplace_back(SendClaimMessage{address, std::move(message)});
  }
}

void ClaimGroupService::deliverOwnMessages(TimePoint now) {
  takeManagerActions();
  while (!own_messages_.empty()) {
    const Message message = std::move(own_messages_.front());
    own_messages_.pop_front();
    handle(message, self_.address, now);
    takeManagerActions();
  }
}

void ClaimGroupService::onMessage(const Message& message, const std::string& from, TimePoint now) {
  handle(message, from, now);
  deliverOwnMessages(now);
}

void ClaimGroupService::handle(const Message& message, const std::string& from, TimePoint now) {
  if (const auto* prepare = std::get_if<ClaimPrepare>(&message)) {
    respondToPrepare(*prepare, from, now);
  } else if (const auto* reply = std::get_if<ClaimReply>(&message)) {
    countReply(*reply, now);
  } else if (const auto* release = std::get_if<ClaimRelease>(&message)) {
    voter_.onRelease(*release);
  } else if (const auto* record = std::get_if<ClaimRecord>(&message)) {
    voter_.onRecord(*record);
  } else if (const auto* seal = std::get_if<ClaimSeal>(&message)) {
    send(from, voter_.onSeal(*seal, now));
  } else if (const auto* sealed = std::get_if<ClaimSealed>(&message)) {
    manager_.onSealed(*sealed);
  } else if (const auto* install = std::get_if<ClaimInstall>(&message)) {
    voter_.onInstall(*install, now);
    updateRow(install->row);
    send(from, info(now));
  } else if (std::holds_alternative<ClaimGroupRequest>(message)) {
    send(from, info(now));
  } else if (const auto* received_info = std::get_if<ClaimGroupInfo>(&message)) {
    updateRow(received_info->row);
    if (!received_info->sender.address.empty()) manager_.onInfo(*received_info, now);
  }
}

void ClaimGroupService::respondToPrepare(const ClaimPrepare& prepare, const std::string& from,
                                         TimePoint now) {
  // The row is sent first, so that a claimant with an older epoch retries in the newer one.
  if (row_.epoch > prepare.epoch) send(from, info(now));
  send(from, voter_.onPrepare(prepare, now));
}

void ClaimGroupService::updateRow(const ClaimGroupRow& row) {
  if (row.epoch > row_.epoch) row_ = row;
}

ClaimGroupInfo ClaimGroupService::info(TimePoint now) const {
  ClaimGroupInfo info;
  info.row = row_;
  info.sender = self_;
  info.voting_epoch = voter_.epoch();
  info.unwritten = voter_.unwritten(kUnwrittenAge, now);
  return info;
}

void ClaimGroupService::onRowRead(const std::optional<ClaimGroupRow>& row, TimePoint now) {
  if (row) {
    updateRow(*row);
    row_needed_ = false;
    row_absent_ = row->epoch == 0;
  }
  manager_.onRowRead(row, now);
}

void ClaimGroupService::onGroupFound() {
  row_needed_ = true;
  row_absent_ = false;
}

void ClaimGroupService::onRowSwapped(std::optional<bool> committed, TimePoint now) {
  manager_.onRowSwapped(committed);
  tick(now);
}

void ClaimGroupService::onClaimPut(const std::string& key, const std::optional<ClaimRow>& present,
                                   TimePoint now) {
  manager_.onClaimPut(key, present);
  tick(now);
}

void ClaimGroupService::tick(TimePoint now) {
  for (auto item = claimants_.begin(); item != claimants_.end();) {
    Claimant& claimant = item->second;
    if (claimant.claim) {
      claimant.claim->onTimer(now);
      if (now >= claimant.next_send) {
        claimant.next_send = now + kPrepareResendInterval;
        for (const ClaimGroupMember& member : claimant.claim->unanswered()) {
          send(member.address, claimant.claim->prepare());
        }
      }
    } else if (now >= claimant.next_attempt) {
      startAttempt(claimant, now);
    }
    item = finishIfDecided(claimant, now) ? claimants_.erase(item) : std::next(item);
  }
  sendNotifications(now);
  manager_.tick(now);
  requestRow(now);
  if (now >= next_expiry_) {
    next_expiry_ = now + kExpiryInterval;
    voter_.expire(now);
  }
  deliverOwnMessages(now);
}

void ClaimGroupService::requestRow(TimePoint now) {
  if (now < next_row_request_) return;
  const bool missing = row_.epoch == 0 && (settings_.size > 0 || row_needed_);
  if (!missing && claimants_.empty()) return;
  next_row_request_ = now + kRowRequestInterval / 2 +
                      Duration(static_cast<Duration::rep>(random_.uniform(0, kRowRequestInterval.count())));
  if (missing && !row_absent_) actions_.emplace_back(ReadGroupRow{});
  for (std::size_t queried = 0; queried < kRoutersQueried && !routers_.empty(); ++queried) {
    const std::string& address = routers_[random_.uniform(0, routers_.size() - 1)].address;
    if (address != self_.address) send(address, ClaimGroupRequest{row_.epoch});
  }
}

void ClaimGroupService::takeManagerActions() {
  for (ClaimManagerAction& action : manager_.takeActions()) {
    if (auto* message = std::get_if<SendClaimMessage>(&action)) {
      send(message->address, std::move(message->message));
      continue;
    }
    std::visit([this](auto& item) { actions_.emplace_back(std::move(item)); }, action);
  }
}

std::vector<ClaimGroupAction> ClaimGroupService::takeActions() {
  return std::exchange(actions_, {});
}

ClaimGroupStatus ClaimGroupService::status(TimePoint now) const {
  ClaimGroupStatus status;
  status.row = row_;
  status.voting = voter_.epoch() != 0;
  status.votes = voter_.size();
  status.covered = status.voting ? voter_.covered(now) : Duration{0};
  status.epochs_begun = manager_.epochsBegun();
  return status;
}

}  // namespace crankspur
