#include "attempt/attempt.h"

#include <catch2/catch.hpp>
#include <map>
#include <vector>

using namespace crankspur;

namespace {

const std::vector<AttemptEvent> kEvents = {
    AttemptEvent::BytesSent,        AttemptEvent::BackendAccepted,      AttemptEvent::PieceReceived,
    AttemptEvent::ResponseComplete, AttemptEvent::BackendRefusedNotRun, AttemptEvent::ConnectionFailed};

/// The events that lead to a state, the run state reported in it, and the next state for each event of
/// kEvents (the state itself if the event is rejected).
struct Expectation {
  std::vector<AttemptEvent> path;
  RunState run_state;
  std::vector<AttemptState> successors;
};

}  // namespace

TEST_CASE("every event in every state of an attempt leads to the expected state", "[attempt]") {
  using S = AttemptState;
  using E = AttemptEvent;
  const std::map<S, Expectation> table = {
      {S::NotSent,
       {{}, RunState::NotRun, {S::Sent, S::NotSent, S::NotSent, S::NotSent, S::NotSent, S::NeverSent}}},
      {S::Sent,
       {{E::BytesSent},
        RunState::Unknown,
        {S::Sent, S::Accepted, S::Streaming, S::Done, S::RefusedNotRun, S::Lost}}},
      {S::Accepted,
       {{E::BytesSent, E::BackendAccepted},
        RunState::Unknown,
        {S::Accepted, S::Accepted, S::Streaming, S::Done, S::Accepted, S::Lost}}},
      {S::Streaming,
       {{E::BytesSent, E::PieceReceived},
        RunState::Ran,
        {S::Streaming, S::Streaming, S::Streaming, S::Done, S::Streaming, S::LostStreaming}}},
      {S::Done, {{E::BytesSent, E::ResponseComplete}, RunState::Ran, std::vector<S>(6, S::Done)}},
      {S::RefusedNotRun,
       {{E::BytesSent, E::BackendRefusedNotRun}, RunState::NotRun, std::vector<S>(6, S::RefusedNotRun)}},
      {S::NeverSent, {{E::ConnectionFailed}, RunState::NotRun, std::vector<S>(6, S::NeverSent)}},
      {S::Lost, {{E::BytesSent, E::ConnectionFailed}, RunState::Unknown, std::vector<S>(6, S::Lost)}},
      {S::LostStreaming,
       {{E::BytesSent, E::PieceReceived, E::ConnectionFailed},
        RunState::Ran,
        std::vector<S>(6, S::LostStreaming)}},
  };
  for (const auto& [state, expected] : table) {
    for (std::size_t i = 0; i < kEvents.size(); ++i) {
      const auto attempt = makeAttempt();
      for (const E event : expected.path) REQUIRE(attempt->apply(event));
      REQUIRE(attempt->state() == state);
      CHECK(attempt->runState() == expected.run_state);
      INFO("state " << static_cast<int>(state) << " event " << i);
      const bool handled = attempt->apply(kEvents[i]);
      CHECK(attempt->state() == expected.successors[i]);
      const bool unchanged = expected.successors[i] == state;
      const bool further_piece = state == S::Streaming && kEvents[i] == E::PieceReceived;
      CHECK(handled == (!unchanged || further_piece));
    }
  }
}
