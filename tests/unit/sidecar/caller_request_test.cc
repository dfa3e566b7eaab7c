#include "sidecar/caller_request.h"

#include <catch2/catch.hpp>

#include "base/hash.h"

using namespace crankspur;

namespace {

class FixedSelector : public RouterSelector {
public:
  std::vector<std::string> rank(const SubmitRequest&) override { return routers; }
  std::vector<std::string> routers{"r1", "r2", "r3"};
};

/// Drives one request and records its actions by type.
class Driver {
public:
  explicit Driver(SubmitRequest request, std::vector<std::string> routers = {"r1", "r2", "r3"}) {
    selector.routers = std::move(routers);
    caller_request = makeCallerRequest(std::move(request), selector, 3, 7, now);
    collect();
  }

  void collect() {
    for (CallerAction& action : caller_request->takeActions()) {
      if (auto* submit = std::get_if<SubmitToRouter>(&action)) submits.push_back(*submit);
      if (auto* cancel = std::get_if<CancelAtRouter>(&action)) cancels.push_back(*cancel);
      if (auto* text = std::get_if<DeliverText>(&action)) delivered += text->text;
      if (auto* error = std::get_if<DeliverError>(&action)) errors.push_back(error->refusal);
      if (std::holds_alternative<DeliverEnd>(action)) ++ends;
    }
  }
  void accepted(std::uint32_t attempt, const std::string& weights = "w1") {
    caller_request->onAccepted({"q", attempt, "engine-1", 42, weights, 10, 5}, now);
    collect();
  }
  void piece(std::uint32_t attempt, std::uint64_t offset, const std::string& text,
             const std::string& id = "q") {
    caller_request->onPiece({id, attempt, offset, static_cast<std::uint32_t>(text.size()), text}, now);
    collect();
  }
  void end(std::uint32_t attempt, const std::string& text) {
    StreamEnd message;
    message.request_id = "q";
    message.attempt = attempt;
    message.token_count = text.size();
    message.checksum = hashBytes(text);
    caller_request->onEnd(message, now);
    collect();
  }
  void refuse(std::uint32_t attempt, ErrorCode code, RunState state) {
    caller_request->onRefusal({"q", attempt, code, state, Duration(0), ""}, now);
    collect();
  }
  void loseRouter(const std::string& router, bool submitted = true) {
    caller_request->onRouterLost(router, submitted, now);
    collect();
  }
  void fireNextTimer() {
    now = *caller_request->nextTimer();
    caller_request->onTimer(now);
    collect();
  }
  std::size_t finalResponses() const { return errors.size() + static_cast<std::size_t>(ends); }

  TimePoint now{std::chrono::seconds(100)};
  FixedSelector selector;
  std::unique_ptr<CallerRequest> caller_request;
  std::vector<SubmitToRouter> submits;
  std::vector<CancelAtRouter> cancels;
  std::vector<Refusal> errors;
  std::string delivered;
  int ends = 0;
};

SubmitRequest completion() {
  SubmitRequest request;
  request.request_id = "q";
  request.tenant = "recife";
  request.model = "desk";
  request.prompt = "catalogue";
  request.deadline = std::chrono::seconds(30);
  return request;
}

SubmitRequest order(const std::string& key) {
  SubmitRequest request = completion();
  request.kind = RequestKind::Application;
  request.operation = "order";
  request.repeatable = false;
  request.idempotency_key = key;
  return request;
}

}  // namespace

TEST_CASE("duplicate, misdirected, reordered and late pieces do not corrupt the response", "[sidecar]") {
  Driver driver(completion());
  driver.accepted(1);
  driver.piece(1, 0, "ab");
  driver.piece(1, 0, "ab");
  driver.piece(1, 2, "xx", "other-request");
  driver.piece(9, 2, "yy");
  driver.piece(1, 4, "ef");
  CHECK(driver.delivered == "ab");
  driver.piece(1, 2, "cd");
  driver.end(9, "abcdef");
  CHECK(driver.ends == 0);
  driver.end(1, "abcdef");
  driver.end(1, "abcdef");
  driver.piece(1, 6, "gh");
  CHECK(driver.delivered == "abcdef");
  CHECK(driver.finalResponses() == 1);
}

TEST_CASE("a response with a checksum mismatch ends with an explicit error", "[sidecar]") {
  Driver driver(completion());
  driver.accepted(1);
  driver.piece(1, 0, "abc");
  driver.end(1, "abX");
  REQUIRE(driver.errors.size() == 1);
  CHECK(driver.errors[0].run_state == RunState::Ran);
  CHECK(driver.ends == 0);
}

TEST_CASE("an incomplete response is resumed at the gap on another router", "[sidecar]") {
  Driver driver(completion());
  driver.accepted(1);
  driver.piece(1, 0, "ab");
  driver.piece(1, 3, "d");
  driver.end(1, "abcd");
  REQUIRE(driver.submits.size() == 2);
  CHECK(driver.cancels.size() == 1);
  CHECK(driver.submits[1].router == "r2");
  CHECK(driver.submits[1].request.resume_offset == 2);
  driver.accepted(2);
  driver.piece(2, 2, "cd");
  driver.end(2, "abcd");
  CHECK(driver.delivered == "abcd");
  CHECK(driver.ends == 1);
}

TEST_CASE("after the loss of a router the stream resumes at another where it stopped", "[sidecar]") {
  Driver driver(completion());
  driver.accepted(1);
  driver.piece(1, 0, "ab");
  driver.now += std::chrono::seconds(10);
  driver.loseRouter("r1");
  REQUIRE(driver.submits.size() == 2);
  const SubmitRequest& second = driver.submits[1].request;
  CHECK(second.attempt == 2);
  CHECK(second.resume_offset == 2);
  CHECK(second.resume_text == "ab");
  CHECK(second.resume_engine == "engine-1");
  CHECK(second.resume_incarnation == 42);
  CHECK(second.resume_weights == "w1");
  CHECK(second.deadline == Duration(std::chrono::seconds(20)));
  driver.piece(1, 2, "ZZ");
  CHECK(driver.delivered == "ab");
  driver.accepted(2);
  driver.piece(2, 2, "cd");
  driver.end(2, "abcd");
  CHECK(driver.delivered == "abcd");
  CHECK(driver.ends == 1);
}

TEST_CASE("a continuation under other weights is rejected", "[sidecar]") {
  Driver driver(completion());
  driver.accepted(1);
  driver.piece(1, 0, "ab");
  driver.loseRouter("r1");
  driver.accepted(2, "w2");
  driver.piece(2, 2, "cd");
  CHECK(driver.delivered == "ab");
  REQUIRE(driver.errors.size() == 1);
  CHECK(driver.errors[0].code == ErrorCode::WeightsMismatch);
  CHECK(driver.errors[0].run_state == RunState::Ran);
}

TEST_CASE("routers that are not ready are skipped immediately and retried later", "[sidecar]") {
  Driver driver(completion());
  driver.refuse(1, ErrorCode::NotReady, RunState::NotRun);
  driver.refuse(2, ErrorCode::StaleBundle, RunState::NotRun);
  driver.refuse(3, ErrorCode::Stopping, RunState::NotRun);
  CHECK(driver.submits.size() == 3);
  driver.fireNextTimer();
  REQUIRE(driver.submits.size() == 4);
  CHECK(driver.submits[3].router == "r1");
  driver.accepted(4);
  driver.piece(4, 0, "ok");
  driver.end(4, "ok");
  CHECK(driver.ends == 1);
}

TEST_CASE("without any router the request is refused promptly, as not run and with a retry delay",
          "[sidecar]") {
  Driver driver(completion(), {});
  const TimePoint start = driver.now;
  while (!driver.caller_request->finished()) driver.fireNextTimer();
  REQUIRE(driver.errors.size() == 1);
  CHECK(driver.errors[0].code == ErrorCode::RouterUnavailable);
  CHECK(driver.errors[0].run_state == RunState::NotRun);
  CHECK(driver.errors[0].retry_after > Duration(0));
  CHECK(driver.now - start < std::chrono::seconds(5));
}

TEST_CASE("attempts are bounded and run states are merged correctly", "[sidecar]") {
  Driver driver(completion());
  driver.refuse(1, ErrorCode::EngineLost, RunState::Unknown);
  driver.refuse(2, ErrorCode::EngineUnavailable, RunState::NotRun);
  driver.refuse(3, ErrorCode::EngineUnavailable, RunState::NotRun);
  REQUIRE(driver.errors.size() == 1);
  CHECK(driver.submits.size() == 3);
  CHECK(driver.errors[0].run_state == RunState::Unknown);
}

TEST_CASE("an overload is reported immediately with its retry delay", "[sidecar]") {
  Driver driver(completion());
  driver.caller_request->onRefusal({"q", 1, ErrorCode::Overloaded, RunState::NotRun, Duration(250'000), ""},
                                   driver.now);
  driver.collect();
  REQUIRE(driver.errors.size() == 1);
  CHECK(driver.errors[0].retry_after == Duration(250'000));
  CHECK(driver.errors[0].run_state == RunState::NotRun);
  CHECK(driver.submits.size() == 1);
}

TEST_CASE("an order is resubmitted after the loss of a router only with an idempotency key", "[sidecar]") {
  SECTION("without a key the outcome is unknown") {
    Driver driver(order(""));
    driver.loseRouter("r1");
    REQUIRE(driver.errors.size() == 1);
    CHECK(driver.errors[0].run_state == RunState::Unknown);
    CHECK(driver.submits.size() == 1);
  }
  SECTION("a submit that was not sent may go to another router") {
    Driver driver(order(""));
    driver.loseRouter("r1", false);
    CHECK(driver.submits.size() == 2);
    CHECK(driver.errors.empty());
  }
  SECTION("with a key the recorded result is awaited") {
    Driver driver(order("k1"));
    driver.loseRouter("r1");
    REQUIRE(driver.submits.size() == 2);
    CHECK(driver.submits[1].request.idempotency_key == "k1");
    driver.refuse(2, ErrorCode::DuplicateRequest, RunState::Unknown);
    CHECK(driver.errors.empty());
    driver.fireNextTimer();
    REQUIRE(driver.submits.size() == 3);
    driver.piece(3, 0, "order 7");
    driver.end(3, "order 7");
    CHECK(driver.ends == 1);
  }
  SECTION("the outcome stays unknown if the claim is unavailable after a lost attempt") {
    Driver driver(order("k1"));
    driver.loseRouter("r1");
    driver.refuse(2, ErrorCode::ClaimUnavailable, RunState::NotRun);
    REQUIRE(driver.errors.size() == 1);
    CHECK(driver.errors[0].run_state == RunState::Unknown);
  }
  SECTION("a refusal that may have run is final") {
    Driver driver(order("k1"));
    driver.refuse(1, ErrorCode::EngineLost, RunState::Unknown);
    CHECK(driver.errors.size() == 1);
    CHECK(driver.submits.size() == 1);
  }
}

TEST_CASE("the deadline ends the request exactly once and cancels its attempt", "[sidecar]") {
  Driver driver(completion());
  driver.accepted(1);
  driver.fireNextTimer();
  REQUIRE(driver.errors.size() == 1);
  CHECK(driver.errors[0].code == ErrorCode::DeadlineExceeded);
  CHECK(driver.errors[0].run_state == RunState::Unknown);
  CHECK(driver.cancels.size() == 1);
  driver.loseRouter("r1");
  driver.end(1, "");
  CHECK(driver.finalResponses() == 1);
}

TEST_CASE("a disconnect of the caller cancels a completion but not an order", "[sidecar]") {
  Driver completion_driver(completion());
  completion_driver.caller_request->onCallerDisconnected(completion_driver.now);
  completion_driver.collect();
  CHECK(completion_driver.cancels.size() == 1);
  CHECK(completion_driver.finalResponses() == 0);
  Driver order_driver(order("k"));
  order_driver.caller_request->onCallerDisconnected(order_driver.now);
  order_driver.collect();
  CHECK(order_driver.cancels.empty());
  CHECK(order_driver.caller_request->finished());
}
