#include "gateway_control/digest_recipients.h"

#include <algorithm>

namespace crankspur::gateway {
namespace {

/// A gateway with clients sends several digests in this time.
constexpr Duration kSenderLifetime = std::chrono::seconds(3);

}  // namespace

std::vector<std::string> DigestRecipients::select(std::vector<std::string> peers, TimePoint now) {
  std::erase_if(heard_at_, [now](const auto& item) { return now - item.second > kSenderLifetime; });
  for (const auto& [sender, heard_at] : heard_at_) {
    if (std::find(peers.begin(), peers.end(), sender) == peers.end()) peers.push_back(sender);
  }
  return peers;
}

}  // namespace crankspur::gateway
