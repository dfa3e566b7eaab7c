#pragma once
/// @file The permits of this gateway for requests to one back end that limits its requests per second, and
/// the gateway that issues them (permit_issuer.h). Pure decision code.

#include <cstdint>
#include <optional>

#include "base/time.h"
#include "gateway/permit_issuer.h"
#include "internal_protocol/messages.h"

namespace crankspur::gateway {

/// See the file comment. Not thread-safe.
class PermitHolder {
public:
  /// @param issuer id of the gateway that is to issue the permits. A change takes effect once the delegation
  /// to the previous one has ended.
  void setIssuer(std::uint64_t issuer, TimePoint now);
  /// @return id of the gateway that issues the permits; 0: none.
  std::uint64_t issuer() const { return issuer_; }

  /// @return whether a permit can be used.
  bool hasPermit(TimePoint now) const { return held_ > 0 && now < expires_at_; }
  /// Uses a permit for one request.
  /// @return false: there is none.
  bool use(TimePoint now);
  /// The request for which a permit was used did not reach the back end.
  void undo(TimePoint now);
  /// A request would have been sent to the back end.
  void onWanted(TimePoint now);

  /// @return the request that is due: permits are wanted, or their state has changed, or the delegation has
  /// to be renewed.
  std::optional<PermitRequest> nextRequest(std::uint64_t backend, TimePoint now);
  /// The issuer issued permits; grants received before are ignored.
  void onGrant(const PermitGrant& grant, TimePoint now);

private:
  void giveBackUnused(TimePoint now);

  std::uint64_t issuer_ = 0;
  std::uint64_t next_issuer_ = 0;  ///< Takes the place of the issuer; 0: none does.
  TimePoint first_requested_at_{};
  TimePoint requested_at_{};  ///< Time of the last request to the issuer.
  std::optional<std::uint32_t> grant_;
  std::uint32_t held_ = 0;        ///< Permits of the grant that can be used.
  std::uint32_t used_ = 0;        ///< Permits of the grant that were used.
  std::uint32_t given_back_ = 0;  ///< Permits of the grant that will not be used.
  bool changed_ = false;          ///< Since the last request.
  TimePoint received_at_{};       ///< Of the grant.
  TimePoint expires_at_{};
  std::uint32_t wanted_ = 0;  ///< Requests without a permit since wanted_since_.
  TimePoint wanted_at_{};     ///< The last of them.
  TimePoint wanted_since_{};
};

}  // namespace crankspur::gateway
