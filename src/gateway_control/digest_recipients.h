#pragma once
/// @file Selects the gateways that receive this gateway's load digests. Pure decision code.

#include <map>
#include <string>
#include <vector>

#include "base/time.h"

namespace crankspur::gateway {

/// Remembers which gateways sent digests: a gateway on standby that still has clients sends its digests to
/// the serving ones, and needs theirs to know the use of quotas. Not thread-safe.
class DigestRecipients {
public:
  /// Another gateway has sent a digest.
  void onSender(const std::string& sender, TimePoint now) { heard_at_[sender] = now; }
  /// @param peers gateways that place requests.
  /// @return these and the recent senders, each once.
  std::vector<std::string> select(std::vector<std::string> peers, TimePoint now);

private:
  std::map<std::string, TimePoint> heard_at_;
};

}  // namespace crankspur::gateway
