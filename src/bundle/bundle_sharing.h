#pragma once
/// @file Synchronisation of bundles between a node and its peers: by deltas where possible, by full bodies
/// otherwise. Decision logic only, without I/O. Resulting bodies are not verified: they must be offered to a
/// BundleHolder, and rejections reported to onRejected().

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>

#include "base/time.h"
#include "bundle/bundle.h"
#include "bundle/bundle_history.h"
#include "internal_protocol/messages.h"

namespace crankspur {

/// Synchronisation state of one node with all its peers.
class BundleSharing {
public:
  /// Bytes of deltas kept in the history.
  static constexpr std::size_t kHistoryBytes = std::size_t{256} * 1024;
  /// Delay before a version is requested again after its full body was rejected.
  static constexpr Duration kRejectedVersionBackoff = std::chrono::seconds(30);
  /// Rejected versions to remember; beyond this the oldest is evicted.
  static constexpr std::size_t kMaxRejectedVersions = 64;

  /// Sets the bundle that the node has accepted and applied.
  void setBundle(std::shared_ptr<const SignedBundle> bundle);
  /// @return the applied version; 0: none.
  std::uint64_t version() const { return bundle_ ? bundle_->body.version : 0; }

  /// @return the response to a peer's request: an update or a full body; empty when the peer is up to date.
  std::optional<Message> response(const BundleRequest& request) const;

  /// @return whether a version that a peer holds should be requested from it.
  bool shouldRequest(std::uint64_t peer_version, TimePoint now) const;
  /// @return the request to send; it requests a full body after an update that could not be used.
  BundleRequest request() const;
  /// Applies an update to the held body.
  /// @return the resulting body, or empty on failure. If needsFullBody() is then true, a new request must be
  /// sent to the peer.
  std::optional<BundleBody> apply(const BundleUpdate& update);
  /// A body that was received from peers did not verify.
  void onRejected(std::uint64_t rejected_version, TimePoint now);
  bool needsFullBody() const { return full_body_required_; }

private:
  std::shared_ptr<const SignedBundle> bundle_;
  BundleHistory history_{kHistoryBytes};
  bool full_body_required_ = false;
  /// A rejected version and the time until which it is not requested.
  struct RejectedVersion {
    std::uint64_t version = 0;
    TimePoint until{};
  };
  std::deque<RejectedVersion> rejected_;  ///< In order of `until`.
};

}  // namespace crankspur
