#pragma once
/// @file Which requests end the back ends that run them. A request may end every back end that begins to run
/// it (a "query of death") and come again under new ids at any gateway, so that no limit within one attempt
/// protects the back ends. Each back end that ends takes its other requests with it: what is kept here bounds
/// that to three ends for each such request, over all attempts and all gateways.
///
/// Evidence is a set of (request, start of a back end): it merges in any order, and nothing is counted twice.
/// All but one of the requests that ran where a back end ended are innocent. Three things keep them free of
/// blame: a whole answer anywhere clears a request; ends count only in sequence (each must be of a run that
/// began after the end before), so that back ends that end together count once; a back end that is heard of
/// after all did not end, and what was noted of it is withdrawn.
///
/// Pure decision code; not thread-safe.

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <string_view>
#include <utility>
#include <vector>

#include "base/time.h"
#include "gateway/request_fingerprint.h"

namespace crankspur::gateway {

/// A back end broke off while it had a request, and has not been heard of since.
struct CrashEvidence {
  RequestFingerprint request;
  std::uint64_t backend = 0;  ///< Incarnation: one start of a back end ends once.
  TimePoint sent_at{};        ///< When the request was sent there.
  TimePoint ended_at{};       ///< When the back end broke off.
};

/// A request got a whole answer: what was noted against it before says nothing.
struct ClearedRequest {
  RequestFingerprint request;
  TimePoint at{};
};

/// A back end has been heard of: what was noted of its end before is wrong.
struct LivingBackend {
  std::uint64_t backend = 0;  ///< Incarnation.
  TimePoint at{};
};

/// What one gateway tells the others.
struct CrashNews {
  std::vector<CrashEvidence> crashes;
  std::vector<ClearedRequest> cleared;
  std::vector<LivingBackend> living;

  bool empty() const { return crashes.empty() && cleared.empty() && living.empty(); }
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
  std::uint32_t ends = 0;         ///< Back ends that ended under it one after the other.
  TimePoint quarantined_until{};  ///< From then on it may be tried once more.
};

/// See the file comment.
class CrashSuspects {
public:
  /// Ends in sequence from which on a request is isolated, and quarantined. The users allow three: a third
  /// try costs an engine where the request is guilty, and serves the caller where it had bad luck twice.
  static constexpr std::uint32_t kEndsUntilIsolated = 2;
  static constexpr std::uint32_t kEndsUntilQuarantined = 3;
  /// Ends, in sequence or not, that quarantine a request which is isolated already: of attempts at once at
  /// several gateways each ends a back end before any is known.
  static constexpr std::uint32_t kEndsAtOnce = 4;

  /// This gateway saw a back end break off.
  /// @return whether it was news.
  bool onCrash(const CrashEvidence& evidence, TimePoint now);
  /// @return whether anything was noted against the request.
  bool onWholeAnswer(const RequestFingerprint& request, TimePoint now);
  /// Bytes came from a back end.
  /// @param sent_at when the exchange that they belong to was sent.
  /// @return whether they prove that an end was noted wrongly.
  bool onHeard(std::uint64_t backend, TimePoint sent_at, TimePoint now);
  /// Another gateway told what it knows.
  /// @return whether anything was news.
  bool onTold(const CrashNews& news, TimePoint now);

  CrashVerdict judge(const RequestFingerprint& request, TimePoint now) const;
  /// @return what this gateway learnt itself since the last call.
  CrashNews takeNews() { return std::exchange(news_, {}); }
  bool hasNews() const { return !news_.empty(); }
  /// @return the ends of all quarantined requests.
  CrashNews quarantined(TimePoint now) const;
  /// @return whether a request of the news is quarantined.
  bool quarantines(const CrashNews& news, TimePoint now) const;
  /// @return all that is known.
  CrashNews everything() const;
  /// @return a sum over all evidence: gateways with equal digests know the same. 0: nothing is known.
  std::uint64_t digest() const { return digest_; }
  std::size_t size() const { return suspects_.size(); }
  /// Forgets what is too old to count. To be called now and then.
  void forgetOld(TimePoint now);

private:
  struct End {
    std::uint64_t backend = 0;
    TimePoint sent_at{};
    TimePoint ended_at{};
    std::uint64_t key = 0;  ///< Its part of the digest.
  };
  struct Suspect {
    std::vector<End> ends;  ///< By ended_at.
  };

  bool add(const CrashEvidence& evidence, TimePoint now);
  bool clear(const ClearedRequest& cleared);
  bool withdraw(const LivingBackend& living);
  bool isRefuted(const CrashEvidence& evidence) const;
  void removeEnd(Suspect& suspect, std::size_t index);
  void makeRoom();
  static std::uint64_t keyOf(const RequestFingerprint& request, std::uint64_t backend);

  absl::flat_hash_map<RequestFingerprint, Suspect> suspects_;
  absl::flat_hash_map<std::uint64_t, TimePoint> ended_at_;  ///< Latest end noted, by back end.
  absl::flat_hash_map<RequestFingerprint, TimePoint> cleared_;
  absl::flat_hash_map<std::uint64_t, TimePoint> living_;
  std::uint64_t digest_ = 0;
  CrashNews news_;
};

}  // namespace crankspur::gateway
