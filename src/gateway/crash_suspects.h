#pragma once
/// @file Which requests crash the back ends that run them. Such a poison request (a query of death) may come
/// again under new ids at any gateway, so that no limit within one attempt protects the back ends. Each crash
/// takes the other requests of the back end with it; what is kept here bounds the crashes of one poison
/// request to three, over all attempts and all gateways.
///
/// Evidence is a set of (request, start of a back end): it merges in any order, and nothing is counted twice.
/// All but one of the requests that ran where a back end crashed are innocent. Three things keep them free of
/// blame: a whole answer anywhere clears a request; crashes count only in sequence (each must be of a run
/// that began after the crash before), so that back ends that crash together count once; a back end that
/// shows a sign of life did not crash, and the evidence of its crash is withdrawn.
///
/// Pure decision code; not thread-safe.

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <set>
#include <string_view>
#include <utility>
#include <vector>

#include "base/time.h"
#include "gateway/crash_policy.h"
#include "gateway/request_fingerprint.h"

namespace crankspur::gateway {

/// A back end broke off while it had a request, and has shown no sign of life since.
struct CrashEvidence {
  RequestFingerprint request;
  std::uint64_t backend = 0;  ///< Incarnation: one start of a back end crashes once.
  TimePoint sent_at{};        ///< When the request was sent there.
  TimePoint crashed_at{};     ///< When the back end broke off.
};

/// A request got a whole answer: earlier evidence against it is void.
struct ClearedRequest {
  RequestFingerprint request;
  TimePoint at{};
};

/// A back end showed a sign of life: evidence of its crash at about that time is void.
struct SignOfLife {
  std::uint64_t backend = 0;  ///< Incarnation.
  TimePoint at{};             ///< Of the crash that it did not have, as far as the teller knew.
};

/// A crash breaks all connections of a back end within some milliseconds: what they tell is gathered for so
/// long.
inline constexpr Duration kCrashUpdateDelay = std::chrono::milliseconds(10);

/// What one gateway tells the others.
struct CrashUpdate {
  std::vector<CrashEvidence> crashes;
  std::vector<ClearedRequest> cleared;
  std::vector<SignOfLife> alive;

  bool empty() const { return crashes.empty() && cleared.empty() && alive.empty(); }
};

/// What is to be done with a request.
enum class Suspicion {
  none,         ///< Nothing, or too little, is known against it.
  isolated,     ///< Runs where least is lost, apart from other such requests.
  quarantined,  ///< Is not run.
};

/// @return the suspicion as it stands in logs.
std::string_view nameOf(Suspicion suspicion);

/// What is known of a request.
struct CrashVerdict {
  Suspicion suspicion = Suspicion::none;
  std::uint32_t crashes = 0;      ///< Back ends that crashed under it one after the other.
  TimePoint quarantined_until{};  ///< From then on it may be tried once more.
};

/// See the file comment.
class CrashSuspects {
public:
  explicit CrashSuspects(const CrashPolicy& policy = {}) : policy_(policy) {}

  /// This gateway saw a back end break off.
  /// @return whether it was new.
  bool onCrash(const CrashEvidence& evidence, TimePoint now);
  /// @return whether there was evidence against the request.
  bool onCompleteResponse(const RequestFingerprint& request, TimePoint now);
  /// Bytes came from a back end.
  /// @param sent_at when the exchange that they belong to was sent.
  /// @return whether they prove that evidence of a crash was wrong.
  bool onSignOfLife(std::uint64_t backend, TimePoint sent_at, TimePoint now);
  /// Takes in what another gateway knows.
  /// @return whether anything was new.
  bool merge(const CrashUpdate& update, TimePoint now);

  CrashVerdict judge(const RequestFingerprint& request, TimePoint now) const;
  /// @return what this gateway learnt itself since the last call.
  CrashUpdate takeUpdate() { return std::exchange(update_, {}); }
  bool hasUpdate() const { return !update_.empty(); }
  /// @return the evidence against all quarantined requests.
  CrashUpdate quarantined(TimePoint now) const;
  /// @return whether a request of the update is quarantined.
  bool quarantines(const CrashUpdate& update, TimePoint now) const;
  /// @return what is known, the most incriminated requests first, as much as fits into a datagram.
  CrashUpdate allEvidence() const;
  /// @return a sum over all evidence: gateways with equal digests know the same. 0: nothing is known.
  std::uint64_t digest() const { return digest_; }
  std::size_t size() const { return suspects_.size(); }
  /// @return whether neither evidence nor anything that refutes some is known.
  bool isEmpty() const { return suspects_.empty() && cleared_.empty() && alive_.empty(); }
  /// Forgets what is too old to count. To be called now and then.
  void removeExpired(TimePoint now);

private:
  struct Crash {
    std::uint64_t backend = 0;
    TimePoint sent_at{};
    TimePoint crashed_at{};
    std::uint64_t key = 0;  ///< Its part of the digest.
  };
  struct Suspect {
    std::vector<Crash> crashes;  ///< By crashed_at.
  };

  bool add(const CrashEvidence& evidence, TimePoint now);
  bool clear(const ClearedRequest& cleared);
  bool withdraw(const SignOfLife& sign);
  bool isRefuted(const CrashEvidence& evidence) const;
  bool isVoid(const CrashEvidence& evidence) const;
  void removeCrash(Suspect& suspect, std::size_t index);
  void makeRoom();
  Duration quarantineAfter(std::uint32_t crashes) const;
  static std::uint64_t keyOf(const RequestFingerprint& request, std::uint64_t backend);

  CrashPolicy policy_;
  absl::flat_hash_map<RequestFingerprint, Suspect> suspects_;
  absl::flat_hash_map<std::uint64_t, TimePoint> crashed_at_;  ///< Latest crash known, by back end.
  absl::flat_hash_map<RequestFingerprint, TimePoint> cleared_;
  /// Instants of crashes that a back end did not have, the latest kMaxSignsOfBackend of them.
  absl::flat_hash_map<std::uint64_t, std::set<TimePoint>> alive_;
  std::uint64_t digest_ = 0;
  CrashUpdate update_;
};

}  // namespace crankspur::gateway
