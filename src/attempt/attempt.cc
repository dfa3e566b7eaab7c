#include "attempt/attempt.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace crankspur {

namespace {

namespace front = boost::msm::front;

struct BytesSent {};
struct Acceptance {};
struct Piece {};
struct Complete {};
struct RefusalNotRun {};
struct ConnectionFailure {};

/// A state of the table below; `kState` is its public name.
template <AttemptState State>
struct AttemptNode : front::state<> {
  static constexpr AttemptState kState = State;
};

/// Transition table of an attempt. An event without a row is refused and changes nothing.
struct AttemptTable : front::state_machine_def<AttemptTable> {
  using NotSent = AttemptNode<AttemptState::NotSent>;
  using Sent = AttemptNode<AttemptState::Sent>;
  using Accepted = AttemptNode<AttemptState::Accepted>;
  using Streaming = AttemptNode<AttemptState::Streaming>;
  using Done = AttemptNode<AttemptState::Done>;
  using RefusedNotRun = AttemptNode<AttemptState::RefusedNotRun>;
  using NeverSent = AttemptNode<AttemptState::NeverSent>;
  using Lost = AttemptNode<AttemptState::Lost>;
  using LostStreaming = AttemptNode<AttemptState::LostStreaming>;
  using initial_state = NotSent;

  template <typename Source, typename Event, typename Target>
  using Row = front::Row<Source, Event, Target>;

  // clang-format off
  struct transition_table : boost::mpl::vector<
      Row<NotSent,   BytesSent,         Sent>,
      Row<NotSent,   ConnectionFailure, NeverSent>,
      Row<Sent,      Acceptance,        Accepted>,
      Row<Sent,      Piece,             Streaming>,
      Row<Sent,      Complete,          Done>,
      Row<Sent,      RefusalNotRun,     RefusedNotRun>,
      Row<Sent,      ConnectionFailure, Lost>,
      Row<Accepted,  Piece,             Streaming>,
      Row<Accepted,  Complete,          Done>,
      Row<Accepted,  ConnectionFailure, Lost>,
      Row<Streaming, Piece,             Streaming>,
      Row<Streaming, Complete,          Done>,
      Row<Streaming, ConnectionFailure, LostStreaming>
  > {};
  // clang-format on

  /// An event without a row is reported by process_event's result.
  template <typename Machine, typename Event>
  void no_transition(const Event&, Machine&, int) {}
};

using Machine = boost::msm::back::state_machine<AttemptTable>;

/// Collects the public name of each state by the machine's own numbering.
class StateNames {
public:
  StateNames() {
    boost::mpl::for_each<States, boost::msm::wrap<boost::mpl::placeholders::_1>>(Collect{*this});
  }
  AttemptState at(int id) const { return names_[static_cast<std::size_t>(id)]; }

private:
  using States = boost::msm::back::generate_state_set<Machine::stt>::type;
  static constexpr std::size_t kStates = boost::mpl::size<States>::value;

  struct Collect {
    StateNames& names;
    template <typename State>
    void operator()(const boost::msm::wrap<State>&) const {
      constexpr int id = boost::msm::back::get_state_id<Machine::stt, State>::value;
      names.names_[static_cast<std::size_t>(id)] = State::kState;
    }
  };

  std::array<AttemptState, kStates> names_{};
};

class AttemptMachine : public Attempt {
public:
  AttemptMachine() { machine_.start(); }

  bool apply(AttemptEvent event) override {
    switch (event) {
      case AttemptEvent::BytesSent:
        return process(BytesSent{});
      case AttemptEvent::BackendAccepted:
        return process(Acceptance{});
      case AttemptEvent::PieceArrived:
        return process(Piece{});
      case AttemptEvent::AnswerComplete:
        return process(Complete{});
      case AttemptEvent::BackendRefusedNotRun:
        return process(RefusalNotRun{});
      case AttemptEvent::ConnectionFailed:
        return process(ConnectionFailure{});
    }
    return false;
  }

  AttemptState state() const override {
    static const StateNames names;
    return names.at(machine_.current_state()[0]);
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
