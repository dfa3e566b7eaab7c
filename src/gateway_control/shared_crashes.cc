/// @file How gateways tell each other which requests end back ends.

#include "gateway_control/gateway_control.h"

namespace crankspur::gateway {

/// To the whole fleet, at once: clients come to any gateway, also to one that stands by.
void GatewayControl::onOwnCrashNews(const CrashNews& news) {
  crashes_.onOwnNews(news, now());
  const CrashNotes notes = toNotes(news, now());
  for (const std::string& member : otherMembers()) gossip_.tell(member, notes);
  if (crashes_.quarantines(news, now())) crash_record_.save();
}

CrashRecordCallbacks GatewayControl::recordCallbacks() {
  CrashRecordCallbacks callbacks;
  callbacks.quarantined = [this] { return crashes_.quarantined(now()); };
  callbacks.on_read = [this](const CrashNews& news) { onCrashRecord(news); };
  return callbacks;
}

/// Traffic hears of it before it gets a configuration to serve by.
void GatewayControl::onCrashRecord(const CrashNews& news) {
  if (crashes_.onNews(news, now()) && outputs_.on_crash_news) outputs_.on_crash_news(news);
  publishSoon();
}

void GatewayControl::onCrashNotes(const CrashNotes& notes) {
  const CrashNews news = toNews(notes, now());
  if (crashes_.onNews(news, now()) && outputs_.on_crash_news) outputs_.on_crash_news(news);
}

void GatewayControl::onCrashDigest(const std::string& teller, const CrashDigest& digest) {
  if (crashes_.onDigest(digest.digest, now())) gossip_.tell(teller, toNotes(crashes_.everything(), now()));
}

void GatewayControl::tellCrashDigest() {
  for (const std::string& member : crashes_.onTick(otherMembers(), now())) {
    gossip_.tell(member, CrashDigest{crashes_.digest()});
  }
  crash_timer_.expires_after(CrashExchange::kDigestInterval);
  crash_timer_.async_wait([this](boost::system::error_code error) {
    if (!error) tellCrashDigest();
  });
}

/// @return the other gateways that may have clients.
std::vector<std::string> GatewayControl::otherMembers() const {
  std::vector<std::string> names;
  for (const MemberRecord& member : gossip_.members()) {
    const bool known = member.incarnation != 0 && member.state != MemberState::Dead;
    if (known && member.name != gossip_.ownName()) names.push_back(member.name);
  }
  return names;
}

}  // namespace crankspur::gateway
