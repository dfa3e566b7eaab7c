#include "sidecar/bundle_exchange.h"

namespace crankspur {

bool BundleExchange::onVersion(const std::string& router, std::uint64_t version, std::uint64_t held,
                               TimePoint now) {
  if (version <= held) return false;
  const bool open = !pulling_from_.empty() && now - pulled_at_ < kPullTimeout;
  if (open) return false;
  pulling_from_ = router;
  pulled_at_ = now;
  return true;
}

void BundleExchange::onRouterLost(const std::string& router) {
  if (router == pulling_from_) pulling_from_.clear();
}

void BundleExchange::onBody() {
  pulling_from_.clear();
}

}  // namespace crankspur
