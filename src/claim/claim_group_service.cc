#include "claim/claim_group_service.h"

#include <algorithm>
#include <utility>

namespace crankspur {

namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

/// Pause between two sendings of one claim to members that have not answered.
constexpr Duration kResendPrepare = milliseconds(250);
/// Pause before a claim is tried again, under another token.
constexpr Duration kRetry = milliseconds(250);
/// How long a holder's answer is waited for before HeldByOther is told.
constexpr Duration kHolderWait = seconds(2);
/// Notices have no acknowledgement; each is sent so often, with this pause.
constexpr std::uint32_t kNoticeSendings = 2;
constexpr Duration kNoticePause = seconds(1);
/// Notices that wait for their second sending; the oldest is dropped beyond.
constexpr std::size_t kMaximumNotices = 4096;
/// A router without the group's row asks this many routers, with this pause.
constexpr std::size_t kRoutersAsked = 2;
constexpr Duration kQuestionPause = seconds(1);
constexpr Duration kExpiryPause = seconds(10);
/// A claim without a row in the table for so long asks for a new epoch, which writes one.
constexpr Duration kUnwrittenAge = minutes(2);
/// Keys are taken to live this much longer than the operators say, since clocks differ in speed.
constexpr std::int64_t kClockMarginDivisor = 16;

Duration withMargin(Duration lifetime) {
  return lifetime + lifetime / kClockMarginDivisor;
}

}  // namespace

ClaimGroupService::ClaimGroupService(ClaimGroupMember self, std::uint64_t random_seed)
    : self_(std::move(self)),
      random_(random_seed),
      voter_(self_, withMargin(settings_.key_lifetime)),
      keeper_(self_.address + ":" + std::to_string(self_.incarnation) + ":" +
              std::to_string(random_.bits())) {
  settings_.key_lifetime = withMargin(settings_.key_lifetime);
}

void ClaimGroupService::configure(const ClaimGroupSettings& settings, TimePoint now) {
  settings_ = settings;
  settings_.key_lifetime = withMargin(settings.key_lifetime);
  keeper_.configure(settings_);
  voter_.setKeyLifetime(settings_.key_lifetime, now);
}

void ClaimGroupService::setRouters(std::vector<ClaimGroupCandidate> routers,
                                   std::optional<std::uint32_t> rank) {
  routers_ = routers;
  // Without a wish for a group nobody need look after it, unless there is one.
  const bool kept = settings_.size > 0 || row_.epoch > 0;
  keeper_.setRouters(std::move(routers), kept ? rank : std::nullopt);
}

void ClaimGroupService::begin(const GroupClaimRequest& request, TimePoint now) {
  Claimant& claimant = claimants_[request.claim];
  claimant.request = request;
  tryClaim(claimant, now);
  deliverOwn(now);
}

void ClaimGroupService::tryClaim(Claimant& claimant, TimePoint now) {
  const GroupClaimRequest& request = claimant.request;
  // A token that was given back never votes again, so each try has one of its own.
  const std::string token = request.token + "#" + std::to_string(++claimant.tries);
  claimant.claim.emplace(request.key, token, row_, settings_.key_lifetime, request.deadline,
                         request.body_hash);
  claimant.epoch = row_.epoch;
  claimant.next_send = now + kResendPrepare;
  for (const ClaimGroupMember& member : claimant.claim->unanswered()) {
    send(member.address, claimant.claim->prepare());
  }
}

void ClaimGroupService::countReply(const ClaimReply& reply, TimePoint now) {
  for (auto item = claimants_.begin(); item != claimants_.end(); ++item) {
    Claimant& claimant = item->second;
    if (!claimant.claim || claimant.claim->token() != reply.token) continue;
    claimant.claim->onBallot(reply, now);
    if (settle(claimant, now)) claimants_.erase(item);
    return;
  }
}

bool ClaimGroupService::settle(Claimant& claimant, TimePoint now) {
  if (!claimant.claim || !claimant.claim->outcome()) return false;
  const GroupClaimOutcome outcome = *claimant.claim->outcome();
  if (outcome == GroupClaimOutcome::Granted || outcome == GroupClaimOutcome::GrantedForTable) {
    decide(claimant, outcome == GroupClaimOutcome::Granted ? GroupClaimDecision::Kind::Granted
                                                           : GroupClaimDecision::Kind::GrantedForTable);
    return true;
  }
  if (!row_.members.empty()) notice(claimant.claim->release(), now);
  if (outcome == GroupClaimOutcome::HeldByOther) return heldByOther(claimant, now);
  if (claimant.claim->outdated()) next_question_ = now;
  claimant.claim.reset();
  claimant.next_try = now + retryPause();
  if (claimant.next_try < claimant.request.deadline) return false;
  // A try cut short after earlier ones met a holder: that holder may have run.
  const bool held = claimant.holder_wait_until.has_value();
  decide(claimant, held ? GroupClaimDecision::Kind::HeldByOther : GroupClaimDecision::Kind::Unavailable);
  return true;
}

Duration ClaimGroupService::retryPause() {
  // By chance, so that two claimants that kept each other from a majority do not do so again.
  return kRetry / 2 + Duration(static_cast<Duration::rep>(random_.uniform(0, kRetry.count())));
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
  claimant.next_try = now + retryPause();
  if (claimant.next_try < *claimant.holder_wait_until) return false;
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
  notice(ClaimRelease{row_.epoch, key, token}, now);
  deliverOwn(now);
}

void ClaimGroupService::record(const ClaimRecord& record, TimePoint now) {
  notice(record, now);
  deliverOwn(now);
}

void ClaimGroupService::notice(Message message, TimePoint now) {
  sendToMembers(message);
  notices_.push_back(Notice{std::move(message), kNoticeSendings - 1, now + kNoticePause});
  if (notices_.size() > kMaximumNotices) notices_.pop_front();
}

void ClaimGroupService::sendNotices(TimePoint now) {
  // All have the same pause, so that the front is due first.
  while (!notices_.empty() && notices_.front().next_send <= now) {
    Notice due = std::move(notices_.front());
    notices_.pop_front();
    sendToMembers(due.message);
    if (--due.sendings_left == 0) continue;
    due.next_send = now + kNoticePause;
    notices_.push_back(std::move(due));
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

void ClaimGroupService::deliverOwn(TimePoint now) {
  takeKeeperActions();
  while (!own_messages_.empty()) {
    const Message message = std::move(own_messages_.front());
    own_messages_.pop_front();
    handle(message, self_.address, now);
    takeKeeperActions();
  }
}

void ClaimGroupService::onMessage(const Message& message, const std::string& from, TimePoint now) {
  handle(message, from, now);
  deliverOwn(now);
}

void ClaimGroupService::handle(const Message& message, const std::string& from, TimePoint now) {
  if (const auto* prepare = std::get_if<ClaimPrepare>(&message)) {
    answerPrepare(*prepare, from, now);
  } else if (const auto* reply = std::get_if<ClaimReply>(&message)) {
    countReply(*reply, now);
  } else if (const auto* release = std::get_if<ClaimRelease>(&message)) {
    voter_.onRelease(*release);
  } else if (const auto* record = std::get_if<ClaimRecord>(&message)) {
    voter_.onRecord(*record);
  } else if (const auto* seal = std::get_if<ClaimSeal>(&message)) {
    send(from, voter_.onSeal(*seal, now));
  } else if (const auto* sealed = std::get_if<ClaimSealed>(&message)) {
    keeper_.onSealed(*sealed);
  } else if (const auto* install = std::get_if<ClaimInstall>(&message)) {
    voter_.onInstall(*install, now);
    learn(install->row);
    send(from, info(now));
  } else if (std::holds_alternative<ClaimGroupRequest>(message)) {
    send(from, info(now));
  } else if (const auto* told = std::get_if<ClaimGroupInfo>(&message)) {
    learn(told->row);
    if (!told->sender.address.empty()) keeper_.onInfo(*told, now);
  }
}

void ClaimGroupService::answerPrepare(const ClaimPrepare& prepare, const std::string& from, TimePoint now) {
  // First the row: a claimant that hears of a newer epoch tries again there.
  if (row_.epoch > prepare.epoch) send(from, info(now));
  send(from, voter_.onPrepare(prepare, now));
}

void ClaimGroupService::learn(const ClaimGroupRow& row) {
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
    learn(*row);
    look_for_row_ = false;
    row_absent_ = row->epoch == 0;
  }
  keeper_.onRowRead(row, now);
}

void ClaimGroupService::onGroupFound() {
  look_for_row_ = true;
  row_absent_ = false;
}

void ClaimGroupService::onRowSwapped(std::optional<bool> committed, TimePoint now) {
  keeper_.onRowSwapped(committed);
  tick(now);
}

void ClaimGroupService::onClaimPut(const std::string& key, const std::optional<ClaimRow>& present,
                                   TimePoint now) {
  keeper_.onClaimPut(key, present);
  tick(now);
}

void ClaimGroupService::tick(TimePoint now) {
  for (auto item = claimants_.begin(); item != claimants_.end();) {
    Claimant& claimant = item->second;
    if (claimant.claim) {
      claimant.claim->onTimer(now);
      if (now >= claimant.next_send) {
        claimant.next_send = now + kResendPrepare;
        for (const ClaimGroupMember& member : claimant.claim->unanswered()) {
          send(member.address, claimant.claim->prepare());
        }
      }
    } else if (now >= claimant.next_try) {
      tryClaim(claimant, now);
    }
    item = settle(claimant, now) ? claimants_.erase(item) : std::next(item);
  }
  sendNotices(now);
  keeper_.tick(now);
  askForRow(now);
  if (now >= next_expiry_) {
    next_expiry_ = now + kExpiryPause;
    voter_.expire(now);
  }
  deliverOwn(now);
}

void ClaimGroupService::askForRow(TimePoint now) {
  if (now < next_question_) return;
  const bool missing = row_.epoch == 0 && (settings_.size > 0 || look_for_row_);
  if (!missing && claimants_.empty()) return;
  next_question_ = now + kQuestionPause / 2 +
                   Duration(static_cast<Duration::rep>(random_.uniform(0, kQuestionPause.count())));
  if (missing && !row_absent_) actions_.emplace_back(ReadGroupRow{});
  for (std::size_t asked = 0; asked < kRoutersAsked && !routers_.empty(); ++asked) {
    const std::string& address = routers_[random_.uniform(0, routers_.size() - 1)].address;
    if (address != self_.address) send(address, ClaimGroupRequest{row_.epoch});
  }
}

void ClaimGroupService::takeKeeperActions() {
  for (ClaimKeeperAction& action : keeper_.takeActions()) {
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
  status.epochs_begun = keeper_.epochsBegun();
  return status;
}

}  // namespace crankspur
