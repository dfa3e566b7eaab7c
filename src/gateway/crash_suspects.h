#pragma once
/// @file Detects requests, and prompt parts of requests, that crash the back ends that run them. Such a
/// poison request (query of death) may be sent again under new ids to any gateway, and requests that have
/// nothing in common but a poison part come again and again, so that no limit within one attempt protects the
/// back ends. Each crash also fails the other requests of the back end. The evidence kept here limits the
/// crashes caused by one suspect (a request or a part) to three, over all attempts and all gateways.
///
/// Evidence is a set of (suspect, incarnation of a back end): it can be merged in any order, and nothing is
/// counted twice. All but one of the requests that ran on a crashed back end are harmless. Three rules
/// prevent false positives: a complete successful response from any back end clears a request; only
/// sequential crashes count (each run must have begun after the previous crash), so that back ends that crash
/// at the same time count once; a back end that shows a sign of life has not crashed, and the evidence of its
/// crash is withdrawn. A prompt part that many requests share is cleared by any response with it that begins.
/// Parts that come together crash together: a crash that one suspect explains is not held against the others.
///
/// No I/O and no clock of its own; not thread-safe.

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/time.h"
#include "gateway/crash_policy.h"
#include "gateway/recent_set.h"
#include "gateway/request_fingerprint.h"

namespace crankspur::gateway {

/// The connection to a back end broke while it ran a request, and the back end has shown no sign of life
/// since.
struct CrashEvidence {
  RequestFingerprint request;
  std::uint64_t backend = 0;   ///< Incarnation, which crashes only once.
  TimePoint sent_at{};         ///< When the request was sent there.
  TimePoint crashed_at{};      ///< When the connection broke.
  bool observed_here = false;  ///< By this gateway; not part of the exchanged evidence.
  /// Position of the prompt part that `request` identifies, from 1 on; 0: it identifies a whole request.
  std::uint32_t part_position = 0;
};

/// An exchange ended without showing whether the back end crashed: the gateway gave it up, or its end may be
/// that of the response or of the back end.
struct UnobservedEnd {
  RequestFingerprint request;
  std::uint64_t backend = 0;  ///< Incarnation.
  TimePoint sent_at{};        ///< When the request was sent there.
  TimePoint ended_at{};       ///< When the exchange ended.
  bool by_backend = false;    ///< The back end closed the connection, as it also does when it crashes.
  std::string request_id;
  std::string backend_name;
  std::uint32_t part_position = 0;  ///< As in CrashEvidence.
};

/// A request got a complete successful response: earlier evidence against it is void.
struct ClearedRequest {
  RequestFingerprint request;
  TimePoint at{};
};

/// A back end showed a sign of life: evidence of its crash at about that time is void.
struct SignOfLife {
  std::uint64_t backend = 0;  ///< Incarnation.
  TimePoint at{};             ///< Of the crash that is refuted, as known to the sender.
};

/// Crashes are batched for this long, since a crash breaks all connections of a back end within some
/// milliseconds.
inline constexpr Duration kCrashUpdateDelay = std::chrono::milliseconds(10);

/// Update that a gateway sends to the others.
struct CrashUpdate {
  std::vector<CrashEvidence> crashes;
  std::vector<ClearedRequest> cleared;
  std::vector<SignOfLife> signs_of_life;

  bool empty() const { return crashes.empty() && cleared.empty() && signs_of_life.empty(); }
};

/// How a request is treated.
enum class Suspicion {
  none,         ///< No evidence against it, or not enough.
  isolated,     ///< Runs where a crash costs the least, apart from other isolated requests.
  quarantined,  ///< Is not run.
};

/// @return the name of the suspicion in logs.
std::string_view nameOf(Suspicion suspicion);

/// The assessment of a request.
struct CrashVerdict {
  Suspicion suspicion = Suspicion::none;
  std::uint32_t crashes = 0;         ///< Number of sequential crashes of back ends that ran it.
  std::uint32_t crashes_in_all = 0;  ///< Also those at about the same time.
  TimePoint quarantined_until{};     ///< From then on it may run once more.
  /// It would be quarantined but for evidence that other gateways may have: it has to wait.
  bool awaits_evidence = false;
};

/// The evidence against requests; see the file comment.
class CrashSuspects {
public:
  explicit CrashSuspects(const CrashPolicy& policy = {})
      : policy_(policy), answered_parts_(policy.max_answered_parts) {}

  /// This gateway's connection to a back end broke.
  /// @return whether the evidence was new.
  bool onCrash(const CrashEvidence& evidence, TimePoint now);
  /// The end becomes evidence once a crash of the back end is known from when the request was there: from
  /// another exchange of this gateway, or of another one.
  void onUnobservedEnd(const UnobservedEnd& end, TimePoint now);
  /// @return recent unobserved ends that would be explained by a crash of the back end which is not known:
  /// the back end closed the connections.
  std::vector<UnobservedEnd> possibleCrashes(std::uint64_t backend, TimePoint now) const;
  /// @return unobserved ends that became evidence since the last call.
  std::vector<UnobservedEnd> takeConfirmed() { return std::exchange(confirmed_, {}); }
  /// @return whether there was evidence against the request.
  bool onCompleteResponse(const RequestFingerprint& request, TimePoint now);
  /// A back end has begun the body of a response to a request with the prompt part.
  /// @return whether there was evidence against the part.
  bool onPartAnswered(const RequestFingerprint& part, TimePoint now);
  /// Bytes were received from a back end.
  /// @param sent_at when the request of their exchange was sent.
  /// @return whether they refute evidence of a crash.
  bool onSignOfLife(std::uint64_t backend, TimePoint sent_at, TimePoint now);
  /// Merges the evidence of another gateway.
  /// @return whether anything was new.
  bool merge(const CrashUpdate& update, TimePoint now);

  CrashVerdict judge(const RequestFingerprint& request, TimePoint now) const;
  /// @return what this gateway itself observed since the last call.
  CrashUpdate takeUpdate() { return std::exchange(update_, {}); }
  bool hasUpdate() const { return !update_.empty(); }
  /// @return the evidence against all quarantined requests.
  CrashUpdate quarantined(TimePoint now) const;
  /// @return whether a request of the update is quarantined.
  bool quarantines(const CrashUpdate& update, TimePoint now) const;
  /// Ranks this gateway among the observers of the crashes of quarantined requests, which have to record
  /// them: 0 for the observer of a request's first crash.
  /// @return the lowest rank over all requests of the update; empty if this gateway observed no crash of a
  /// quarantined one.
  std::optional<std::size_t> recorderRank(const CrashUpdate& update, TimePoint now) const;
  /// @return as much of the state as fits into a datagram, with the requests with the most crashes first.
  CrashUpdate allEvidence() const;
  /// @return a sum over all evidence: gateways with equal digests have the same evidence. 0: there is none.
  std::uint64_t digest() const { return digest_; }
  std::size_t size() const { return suspects_.size(); }
  /// @return whether there is neither evidence nor a refutation.
  bool isEmpty() const { return suspects_.empty() && cleared_.empty() && signs_of_life_.empty(); }
  /// Removes expired evidence and refutations. To be called periodically.
  void removeExpired(TimePoint now);

private:
  struct Crash {
    std::uint64_t backend = 0;
    TimePoint sent_at{};
    TimePoint crashed_at{};
    std::uint64_t key = 0;  ///< Its term in the digest.
    bool observed_here = false;
  };
  struct Suspect {
    std::vector<Crash> crashes;       ///< Sorted by crashed_at.
    std::uint32_t part_position = 0;  ///< As in CrashEvidence; of a part at several positions, the last.
  };
  /// Crashes of a suspect that no other suspect explains.
  struct CrashCount {
    std::uint32_t in_sequence = 0;
    std::uint32_t in_all = 0;
    TimePoint last{};
  };
  /// Incarnations whose crashes are explained, by the kind of the suspect that explains them.
  struct ExplainedCrashes {
    absl::flat_hash_set<std::uint64_t> by_request;
    absl::flat_hash_set<std::uint64_t> by_part;

    bool contains(std::uint64_t backend, const Suspect& suspect) const;
  };

  /// Bytes that were received from a back end after its crash, on a connection from before it.
  struct LateBytes {
    TimePoint crashed_at{};
    TimePoint first_at{};  ///< When the first of them were received.
  };

  bool add(const CrashEvidence& evidence, TimePoint now);
  bool mayBeDelayed(std::uint64_t backend, TimePoint crashed_at, TimePoint now);
  void confirmUnobservedEnds(std::uint64_t backend, TimePoint crashed_at, TimePoint now);
  static bool wasThere(const UnobservedEnd& end, TimePoint crashed_at);
  bool clear(const ClearedRequest& cleared);
  bool withdrawCrashes(const SignOfLife& sign);
  bool isRefuted(const CrashEvidence& evidence) const;
  bool isVoid(const CrashEvidence& evidence) const;
  void removeCrashAt(Suspect& suspect, std::size_t index);
  void evictIfFull();
  Duration quarantineAfter(const Suspect& suspect, std::uint32_t crashes) const;
  /// Counts the crashes up to `until`.
  CrashCount count(const Suspect& suspect, const ExplainedCrashes& explained, TimePoint until) const;
  bool isSettled(const RequestFingerprint& id, const Suspect& suspect, TimePoint now) const;
  bool isEnough(const RequestFingerprint& id, const Suspect& suspect, const CrashCount& crashes) const;
  void findCulprits() const;
  static std::uint64_t keyOf(const RequestFingerprint& request, std::uint64_t backend);

  CrashPolicy policy_;
  absl::flat_hash_map<RequestFingerprint, Suspect> suspects_;
  absl::flat_hash_map<std::uint64_t, TimePoint> crashed_at_;  ///< Latest crash known, by back end.
  absl::flat_hash_map<std::uint64_t, LateBytes> late_bytes_;  ///< By back end.
  absl::flat_hash_map<RequestFingerprint, TimePoint> cleared_;
  /// Times of refuted crashes by back end, the latest kMaxSignsOfBackend of each.
  absl::flat_hash_map<std::uint64_t, std::set<TimePoint>> signs_of_life_;
  RecentSet<RequestFingerprint> answered_parts_;
  std::uint64_t digest_ = 0;
  /// Suspects with enough crashes, each of which explains its crashes. Derived from `suspects_` when needed.
  mutable absl::flat_hash_set<RequestFingerprint> culprits_;
  mutable ExplainedCrashes explained_;
  mutable bool culprits_known_ = true;
  CrashUpdate update_;
  std::deque<UnobservedEnd> unobserved_;  ///< Oldest first.
  std::vector<UnobservedEnd> confirmed_;
};

}  // namespace crankspur::gateway
