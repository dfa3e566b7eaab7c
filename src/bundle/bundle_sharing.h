#pragma once
/// @file How a node brings peers up to date and is brought up to date by them: by deltas where both sides
/// can, by whole bodies otherwise. Pure decision code. Bodies that come out of it are not verified: they must
/// be offered to a BundleHolder, and refusals told to onRefused().

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>

#include "base/time.h"
#include "bundle/bundle.h"
#include "bundle/bundle_history.h"
#include "internal_protocol/messages.h"

namespace crankspur {

/// The exchange of one node with all its peers.
class BundleSharing {
public:
  /// Bytes of deltas that a node keeps.
  static constexpr std::size_t kHistoryBytes = std::size_t{256} * 1024;
  /// Time for which a version whose whole body was refused is not asked for again.
  static constexpr Duration kRefusedPause = std::chrono::seconds(30);
  /// Refused versions that are remembered; beyond, the one refused first is forgotten.
  static constexpr std::size_t kRefusedVersions = 64;

  /// The node has a newer bundle in force.
  void setBundle(std::shared_ptr<const SignedBundle> bundle);
  /// @return the version in force; 0 when none is.
  std::uint64_t version() const { return bundle_ ? bundle_->body.version : 0; }

  /// @return what answers a peer's request: an update, a body, or nothing when the peer holds as much.
  std::optional<Message> answer(const BundleRequest& request) const;

  /// @return whether a version that a peer holds should be asked for.
  bool wants(std::uint64_t peer_version, TimePoint now) const;
  /// @return the request to send; it asks for a whole body after an update that was of no use.
  BundleRequest request() const;
  /// @return the body that an update yields; empty when it yields none. If needsWholeBody() is then true, the
  /// peer must be asked again.
  std::optional<BundleBody> take(const BundleUpdate& update);
  /// A body that came from peers did not verify.
  void onRefused(std::uint64_t refused_version, TimePoint now);
  bool needsWholeBody() const { return whole_only_; }

private:
  std::shared_ptr<const SignedBundle> bundle_;
  BundleHistory history_{kHistoryBytes};
  bool whole_only_ = false;
  /// A version that was refused, and until when it is not asked for.
  struct Refused {
    std::uint64_t version = 0;
    TimePoint until{};
  };
  std::deque<Refused> refused_;  ///< In the order of their times.
};

}  // namespace crankspur
