#include "bundle/bundle_sharing.h"

#include <algorithm>

namespace crankspur {

void BundleSharing::setBundle(std::shared_ptr<const SignedBundle> bundle) {
  if (bundle_ != nullptr) {
    history_.add(bundle_->body, bundle->body);
  }
  bundle_ = std::move(bundle);
  whole_only_ = false;
}

std::optional<Message> BundleSharing::answer(const BundleRequest& request) const {
  if (version() <= request.held_version) {
    return std::nullopt;
  }
  if (std::optional<BundleUpdate> update = history_.updateFrom(request.held_version, bundle_->body)) {
    return std::move(*update);
  }
  return bundle_->body;
}

bool BundleSharing::wants(std::uint64_t peer_version, TimePoint now) const {
  if (peer_version <= version()) return false;
  // Only the very version counts: a peer that offers a forged high one must not keep out those below.
  return std::none_of(refused_.begin(), refused_.end(), [&](const Refused& refused) {
    return refused.version == peer_version && now < refused.until;
  });
}

BundleRequest BundleSharing::request() const {
  return {whole_only_ ? 0 : version()};
}

std::optional<BundleBody> BundleSharing::take(const BundleUpdate& update) {
  const bool late = update.steps.empty() || update.steps.front().from_version != version();
  if (late || bundle_ == nullptr) {
    return std::nullopt;
  }
  std::optional<BundleBody> body = applyBundleUpdate(bundle_->body, update);
  if (!body) {
    whole_only_ = true;
  }
  return body;
}

void BundleSharing::onRefused(std::uint64_t refused_version, TimePoint now) {
  if (whole_only_) {
    refused_.push_back({refused_version, now + kRefusedPause});
    if (refused_.size() > kRefusedVersions) refused_.pop_front();
  }
  whole_only_ = true;
}

}  // namespace crankspur
