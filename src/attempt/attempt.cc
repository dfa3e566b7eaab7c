#include "attempt/attempt.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace crankspur {

namespace {

namespace front = boost::msm::front;

struct BytesSent {};
struct BackendAcceptance {};
struct ResponsePiece {};
struct ResponseEnd {};
struct NotRunRefusal {};
struct ConnectionFailure {};

/// State of the transition table; `kState` is the corresponding public value.
template <AttemptState State>
struct TableState : front::state<> {
  static constexpr AttemptState kState = State;
};

/// Transition table of an attempt. An event without a row is rejected and leaves the state unchanged.
struct AttemptTable : front::state_machine_def<AttemptTable> {
  using NotSent = TableState<AttemptState::NotSent>;
  using Sent = TableState<AttemptState::Sent>;
  using Accepted = TableState<AttemptState::Accepted>;
  using Streaming = TableState<AttemptState::Streaming>;
  using Done = TableState<AttemptState::Done>;
  using RefusedNotRun = TableState<AttemptState::RefusedNotRun>;
  using NeverSent = TableState<AttemptState::NeverSent>;
  using Lost = TableState<AttemptState::Lost>;
  using LostStreaming = TableState<AttemptState::LostStreaming>;
  using initial_state = NotSent;

  template <typename Source, typename Event, typename Target>
  using Row = front::Row<Source, Event, Target>;

  // clang-format off
  struct transition_table : boost::mpl::vector<
      Row<NotSent,   BytesSent,         Sent>,
      Row<NotSent,   ConnectionFailure, NeverSent>,
      Row<Sent,      BackendAcceptance, Accepted>,
      Row<Sent,      ResponsePiece,     Streaming>,
      Row<Sent,      ResponseEnd,       Done>,
      Row<Sent,      NotRunRefusal,     RefusedNotRun>,
      Row<Sent,      ConnectionFailure, Lost>,
      Row<Accepted,  ResponsePiece,     Streaming>,
      Row<Accepted,  ResponseEnd,       Done>,
      Row<Accepted,  ConnectionFailure, Lost>,
      Row<Streaming, ResponsePiece,     Streaming>,
      Row<Streaming, ResponseEnd,       Done>,
      Row<Streaming, ConnectionFailure, LostStreaming>
  > {};
  // clang-format on

  /// Replaces the assertion of the default handler: process_event() reports an unhandled event.
  template <typename Machine, typename Event>
  void no_transition(const Event&, Machine&, int) {}
};

using Machine = boost::msm::back::state_machine<AttemptTable>;

/// Maps each state id that Boost.MSM assigns to the public value of the state.
class StateMap {
public:
  StateMap() {
    boost::mpl::for_each<States, boost::msm::wrap<boost::mpl::placeholders::_1>>(Collector{*this});
  }
  AttemptState at(int id) const { return states_[static_cast<std::size_t>(id)]; }

private:
  using States = boost::msm::back::generate_state_set<Machine::stt>::type;
  static constexpr std::size_t kStateCount = boost::mpl::size<States>::value;

  struct Collector {
    StateMap& map;
    template <typename State>
    void operator()(const boost::msm::wrap<State>&) const {
      constexpr int id = boost::msm::back::get_state_id<Machine::stt, State>::value;
      map.states_[static_cast<std::size_t>(id)] = State::kState;
    }
  };

  std::array<AttemptState, kStateCount> states_{};
};

class AttemptMachine : public Attempt {
public:
  AttemptMachine() { machine_.start(); }

  bool apply(AttemptEvent event) override {
    switch (event) {
      case AttemptEvent::BytesSent:
        return process(BytesSent{});
      case AttemptEvent::BackendAccepted:
        return process(BackendAcceptance{});
      case AttemptEvent::PieceReceived:
        return process(ResponsePiece{});
      case AttemptEvent::ResponseComplete:
        return process(ResponseEnd{});
      case AttemptEvent::BackendRefusedNotRun:
        return process(NotRunRefusal{});
      case AttemptEvent::ConnectionFailed:
        return process(ConnectionFailure{});
    }
    return false;
  }

  AttemptState state() const override {
    static const StateMap map;
    return map.at(machine_.current_state()[0]);
  }

  RunState runState() const override {
    switch (state()) {
      case AttemptState::NotSent:
      case AttemptState::NeverSent:
      case AttemptState::RefusedNotRun:
        return RunState::NotRun;
      case AttemptState::Sent:
      case AttemptState::Accepted:
      case AttemptState::Lost:
        return RunState::Unknown;
      case AttemptState::Streaming:
      case AttemptState::Done:
      case AttemptState::LostStreaming:
        return RunState::Ran;
    }
    return RunState::Unknown;
  }

private:
  template <typename Event>
  bool process(const Event& event) {
    return machine_.process_event(event) == boost::msm::back::HANDLED_TRUE;
  }

  Machine machine_;
};

}  // namespace

std::unique_ptr<Attempt> makeAttempt() {
  return std::make_unique<AttemptMachine>();
}

}  // namespace crankspur
