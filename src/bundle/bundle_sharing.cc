#include "bundle/bundle_sharing.h"

#include <algorithm>

namespace crankspur {

void BundleSharing::setBundle(std::shared_ptr<const SignedBundle> bundle) {
  if (bundle_ != nullptr) {
    history_.add(bundle_->body, bundle->body);
  }
  bundle_ = std::move(bundle);
  full_body_required_ = false;
}

std::optional<Message> BundleSharing::response(const BundleRequest& request) const {
  if (version() <= request.held_version) {
    return std::nullopt;
  }
  if (std::optional<BundleUpdate> update = history_.updateFrom(request.held_version, bundle_->body)) {
    return std::move(*update);
  }
  return bundle_->body;
}

bool BundleSharing::shouldRequest(std::uint64_t peer_version, TimePoint now) const {
  if (peer_version <= version()) return false;
  // Only the exact version is blocked: a forged high version of one peer must not block lower versions.
  return std::none_of(rejected_.begin(), rejected_.end(), [&](const RejectedVersion& rejected) {
    return rejected.version == peer_version && now < rejected.until;
  });
}

BundleRequest BundleSharing::request() const {
  return {full_body_required_ ? 0 : version()};
}

std::optional<BundleBody> BundleSharing::apply(const BundleUpdate& update) {
  const bool outdated = update.steps.empty() || update.steps.front().from_version != version();
  if (outdated || bundle_ == nullptr) {
    return std::nullopt;
  }
  std::optional<BundleBody> body = applyBundleUpdate(bundle_->body, update);
  if (!body) {
    full_body_required_ = true;
  }
  return body;
}

void BundleSharing::onRejected(std::uint64_t rejected_version, TimePoint now) {
  if (full_body_required_) {
    rejected_.push_back({rejected_version, now + kRejectedVersionBackoff});
    if (rejected_.size() > kMaxRejectedVersions) rejected_.pop_front();
  }
  full_body_required_ = true;
}

}  // namespace crankspur
