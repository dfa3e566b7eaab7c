#include "gateway/crash_suspects.h"

#include <catch2/catch.hpp>

#include "base/random.h"

using namespace crankspur;
using namespace crankspur::gateway;
using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

const RequestFingerprint kRequest{1, 2};
const TimePoint kStart{seconds(1000)};

/// The request was sent to the back end at `sent`, and the back end crashed 0.1 s later.
CrashEvidence crash(std::uint64_t backend, Duration sent, const RequestFingerprint& request = kRequest) {
  return {request, backend, kStart + sent, kStart + sent + milliseconds(100)};
}

/// Back ends 1 to `count` crashed while they ran the request, one each second.
CrashSuspects suspectsWith(int count) {
  CrashSuspects suspects;
  for (int end = 0; end < count; ++end)
    suspects.onCrash(crash(1U + end, seconds(end)), kStart + seconds(end));
  return suspects;
}

Suspicion suspicionOf(const CrashSuspects& suspects, Duration after,
                      const RequestFingerprint& request = kRequest) {
  return suspects.judge(request, kStart + after).suspicion;
}

}  // namespace

TEST_CASE("suspicion rises with each crash and only for the request that ran", "[gateway][crash_suspects]") {
  CHECK(suspicionOf(suspectsWith(0), seconds(5)) == Suspicion::none);
  CHECK(suspicionOf(suspectsWith(1), seconds(5)) == Suspicion::none);
  CHECK(suspicionOf(suspectsWith(2), seconds(5)) == Suspicion::isolated);
  CHECK(suspicionOf(suspectsWith(3), seconds(5)) == Suspicion::quarantined);
  CHECK(suspicionOf(suspectsWith(3), seconds(5), {1, 3}) == Suspicion::none);
}

TEST_CASE("a crash of one incarnation that is seen twice counts once", "[gateway][crash_suspects]") {
  CrashSuspects suspects = suspectsWith(2);
  CHECK_FALSE(suspects.onCrash(crash(2, milliseconds(1010)), kStart + seconds(2)));
  CHECK(suspicionOf(suspects, seconds(2)) == Suspicion::isolated);
}

TEST_CASE("a crash under a request that was sent after a possible restart counts as another crash",
          "[gateway][crash_suspects]") {
  CrashSuspects suspects = suspectsWith(2);
  CHECK(suspects.onCrash(crash(2, seconds(3)), kStart + seconds(4)));
  CHECK(suspicionOf(suspects, seconds(4)) == Suspicion::quarantined);
}

// A slow read of the quarantine record from the store shifts its crash times, for example by 1.2 s. If each
// crash then counted once more, as one of the back end's next incarnation, the quarantine would last four
// times as long.
TEST_CASE("a crash that is received with an inexact time counts once", "[gateway][crash_suspects]") {
  const Duration error =
      GENERATE(milliseconds(-1500), milliseconds(-700), milliseconds(700), milliseconds(1500));
  CrashSuspects suspects = suspectsWith(3);
  CrashUpdate received;
  for (CrashEvidence evidence : suspects.allEvidence().crashes) {
    evidence.sent_at += error;
    evidence.crashed_at += error;
    received.crashes.push_back(evidence);
  }
  CHECK_FALSE(suspects.merge(received, kStart + seconds(5)));
  CHECK(suspects.judge(kRequest, kStart + seconds(5)).crashes == 3);
}

TEST_CASE("crashes of several incarnations of a back end count in any order of arrival",
          "[gateway][crash_suspects]") {
  const std::vector<CrashEvidence> received = {crash(7, seconds(0)), crash(7, seconds(4)),
                                               crash(7, seconds(8))};
  CrashSuspects forwards;
  CrashSuspects backwards;
  for (std::size_t index = 0; index < received.size(); ++index) {
    CHECK(forwards.onCrash(received[index], kStart + seconds(10)));
    CHECK(backwards.onCrash(received[received.size() - 1 - index], kStart + seconds(10)));
  }
  CHECK(forwards.digest() == backwards.digest());
  CHECK(suspicionOf(backwards, seconds(10)) == Suspicion::quarantined);
}

TEST_CASE("back ends that crash at the same time count once", "[gateway][crash_suspects]") {
  CrashSuspects suspects;
  for (std::uint64_t backend = 1; backend <= 3; ++backend) {
    suspects.onCrash(crash(backend, milliseconds(10 * backend)), kStart + seconds(1));
  }
  CHECK(suspicionOf(suspects, seconds(1)) == Suspicion::none);
}

TEST_CASE("a request with concurrent attempts at several gateways is quarantined after two rounds",
          "[gateway][crash_suspects]") {
  CrashSuspects suspects;
  for (std::uint64_t backend = 1; backend <= 4; ++backend) {
    suspects.onCrash(crash(backend, seconds(backend > 2 ? 1 : 0)), kStart + seconds(2));
  }
  CHECK(suspicionOf(suspects, seconds(2)) == Suspicion::quarantined);
}

TEST_CASE("a complete response clears a request, also of evidence that arrives later",
          "[gateway][crash_suspects]") {
  CrashSuspects suspects = suspectsWith(2);
  CHECK(suspects.onCompleteResponse(kRequest, kStart + seconds(3)));
  CHECK(suspicionOf(suspects, seconds(3)) == Suspicion::none);
  CHECK_FALSE(suspects.onCrash(crash(9, seconds(2)), kStart + seconds(4)));
  CHECK(suspects.onCrash(crash(9, seconds(3)), kStart + seconds(4)));
  CHECK(suspects.digest() != 0);
}

TEST_CASE("a sign of life of a back end clears all requests that it ran", "[gateway][crash_suspects]") {
  const RequestFingerprint second{5, 6};
  CrashSuspects suspects = suspectsWith(2);
  suspects.onCrash(crash(2, seconds(1), second), kStart + seconds(2));
  SECTION("bytes on a connection from before the crash") {
    // The first bytes may have been sent before the crash.
    CHECK_FALSE(suspects.onSignOfLife(2, kStart, kStart + milliseconds(1200)));
    CHECK(suspects.onSignOfLife(2, kStart, kStart + seconds(8)));
  }
  SECTION("a response before it could have restarted") {
    CHECK_FALSE(suspects.onSignOfLife(2, kStart + seconds(2), kStart + seconds(8)));
    CHECK(suspects.onSignOfLife(2, kStart + milliseconds(1200), kStart + milliseconds(1400)));
  }
  CHECK(suspicionOf(suspects, seconds(8)) == Suspicion::none);
  CHECK(suspects.size() == 1);
  CHECK_FALSE(suspects.onCrash(crash(2, seconds(1), second), kStart + seconds(8)));
}

TEST_CASE("a quarantine ends, is longer after each further crash, and expires", "[gateway][crash_suspects]") {
  CrashSuspects suspects = suspectsWith(3);
  CHECK(suspicionOf(suspects, seconds(61)) == Suspicion::quarantined);
  CHECK(suspicionOf(suspects, seconds(63)) == Suspicion::isolated);
  suspects.onCrash(crash(4, seconds(70)), kStart + seconds(71));
  CHECK(suspicionOf(suspects, seconds(70) + minutes(3)) == Suspicion::quarantined);
  CHECK(suspicionOf(suspects, seconds(71) + minutes(4)) == Suspicion::isolated);
  suspects.removeExpired(kStart + hours(2));
  CHECK(suspects.size() == 0);
  CHECK(suspects.digest() == 0);
}

TEST_CASE("updates that are merged in any order give the same evidence", "[gateway][crash_suspects]") {
  RandomSource random(11);
  for (int round = 0; round < 200; ++round) {
    std::vector<CrashUpdate> received;
    for (int event = 0; event < 12; ++event) {
      const RequestFingerprint request{random.uniform(1, 3), 0};
      const std::uint64_t backend = random.uniform(1, 5);
      const Duration at = milliseconds(random.uniform(0, 5000));
      CrashUpdate update;
      const std::uint64_t kind = random.uniform(0, 9);
      if (kind < 8) update.crashes.push_back(crash(backend, milliseconds(100 * backend), request));
      if (kind == 8) update.cleared.push_back({request, kStart + at});
      if (kind == 9) update.signs_of_life.push_back({backend, kStart + at});
      received.push_back(update);
    }
    CrashSuspects first;
    CrashSuspects second;
    const TimePoint now = kStart + seconds(10);
    for (const CrashUpdate& update : received) first.merge(update, now);
    for (std::size_t left = received.size(); left > 0; --left) {
      const std::size_t pick = random.uniform(0, left - 1);
      second.merge(received[pick], now);
      std::swap(received[pick], received[left - 1]);
    }
    CHECK(first.digest() == second.digest());
    CrashSuspects third;
    third.merge(first.allEvidence(), now);
    CHECK(third.digest() == first.digest());
    CHECK_FALSE(first.merge(third.allEvidence(), now));
  }
}

TEST_CASE("memory is bounded, and requests with the most crashes are kept", "[gateway][crash_suspects]") {
  CrashSuspects suspects = suspectsWith(3);
  for (std::uint64_t request = 0; request < 9000; ++request) {
    suspects.onCrash(crash(50, seconds(5), {request, 77}), kStart + seconds(6));
  }
  CHECK(suspects.size() <= 8192);
  CHECK(suspicionOf(suspects, seconds(7)) == Suspicion::quarantined);
  CHECK(suspects.allEvidence().crashes.size() <= 600);
  CHECK(suspects.allEvidence().crashes.front().request == kRequest);
}

// A gateway that was suspended for three seconds detects a broken connection, sends a health probe and gets a
// response from the engine's next incarnation. Evidence that other gateways recorded at the time of the crash
// must stay.
TEST_CASE("a sign of life after a late detection keeps evidence from the time of the crash",
          "[gateway][crash_suspects]") {
  CrashSuspects prompt;
  prompt.onCrash(crash(1, seconds(0)), kStart + milliseconds(100));
  CrashSuspects late;
  CrashEvidence noticed = crash(1, seconds(0), {3, 4});
  noticed.crashed_at = kStart + seconds(3);
  late.onCrash(noticed, noticed.crashed_at);
  CHECK(late.onSignOfLife(1, kStart + seconds(3), kStart + milliseconds(3010)));
  CHECK(late.size() == 0);
  prompt.merge(late.takeUpdate(), kStart + milliseconds(3020));
  CHECK(prompt.size() == 1);
  late.merge(prompt.allEvidence(), kStart + milliseconds(3030));
  CHECK(late.size() == 1);
}

// Only a connection to the engine is reset, as its response to a probe shows. The engine crashes 0.2 s later.
TEST_CASE("a crash after a sign of life counts", "[gateway][crash_suspects]") {
  CrashSuspects suspects;
  suspects.onCrash(crash(1, seconds(0)), kStart + milliseconds(100));
  REQUIRE(suspects.onSignOfLife(1, kStart + milliseconds(100), kStart + milliseconds(105)));
  CHECK(suspects.onCrash(crash(1, milliseconds(190)), kStart + milliseconds(290)));
}

// A gateway that was partitioned from the back end reads, when the partition ends, what the back end had sent
// before it crashed. It took this for a sign of life, and a poison request ran again.
TEST_CASE("bytes that a partition held back are no sign of life", "[gateway][crash_suspects]") {
  CrashSuspects suspects = suspectsWith(3);
  CHECK_FALSE(suspects.onSignOfLife(3, kStart, kStart + seconds(8)));
  CHECK_FALSE(suspects.onSignOfLife(3, kStart, kStart + milliseconds(8'010)));
  CHECK(suspicionOf(suspects, seconds(9)) == Suspicion::quarantined);
  CHECK(suspects.onSignOfLife(3, kStart, kStart + milliseconds(8'400)));
}

// After all gateways had started again, no part was known to be answered. A poison request crashed three back
// ends in sequence and one at the same time as another; a sound part of it, which other requests had there
// too, had four crashes in sequence and was quarantined in its place, with all requests that have it.
TEST_CASE("a request that explains as many crashes as a part of it is the culprit",
          "[gateway][crash_suspects]") {
  const RequestFingerprint part{7, 8};
  CrashSuspects suspects = suspectsWith(3);
  suspects.onCrash({kRequest, 4, kStart + seconds(2), kStart + milliseconds(2'200)}, kStart + seconds(3));
  for (int end = 0; end < 4; ++end) {
    CrashEvidence accused = crash(1U + end, seconds(end), part);
    accused.part_position = 1;
    suspects.onCrash(accused, kStart + seconds(4));
  }
  CHECK(suspicionOf(suspects, seconds(5)) == Suspicion::quarantined);
  CHECK(suspicionOf(suspects, seconds(5), part) == Suspicion::none);
}

// A gateway that did not know yet that another one had sent the poison request to two more back ends
// quarantined a sound part for some milliseconds, and told callers to return after a minute.
TEST_CASE("crashes count against a part only once the evidence of other gateways may have arrived",
          "[gateway][crash_suspects]") {
  const RequestFingerprint part{7, 8};
  CrashSuspects suspects;
  for (int end = 0; end < 4; ++end) {
    CrashEvidence accused = crash(1U + end, seconds(end), part);
    accused.part_position = 1;
    suspects.onCrash(accused, accused.crashed_at);
  }
  CHECK(suspicionOf(suspects, milliseconds(3'150), part) != Suspicion::quarantined);
  CHECK(suspects.judge(part, kStart + milliseconds(3'150)).awaits_evidence);
  CHECK(suspicionOf(suspects, milliseconds(3'350), part) == Suspicion::quarantined);
}
