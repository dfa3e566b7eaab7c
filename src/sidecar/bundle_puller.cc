#include "sidecar/bundle_puller.h"

namespace crankspur {

bool BundlePuller::onVersion(const std::string& router, std::uint64_t version, std::uint64_t held,
                             TimePoint now) {
  if (version <= held) return false;
  const bool pull_pending = !pull_source_.empty() && now - pull_started_at_ < kPullTimeout;
  if (pull_pending) return false;
  pull_source_ = router;
  pull_started_at_ = now;
  return true;
}

void BundlePuller::onRouterLost(const std::string& router) {
  if (router == pull_source_) pull_source_.clear();
}

void BundlePuller::onBody() {
  pull_source_.clear();
}

}  // namespace crankspur
