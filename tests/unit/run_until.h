#pragma once
/// @file Runs an event loop of a test until a condition holds.

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <functional>

namespace crankspur {

/// Runs handlers of `context` until `condition` holds; fails the test when it does not within 20 s.
inline void runUntil(boost::asio::io_context& context, const std::function<bool()>& condition) {
  constexpr std::chrono::seconds kPatience{20};
  const auto end = std::chrono::steady_clock::now() + kPatience;
  while (!condition() && std::chrono::steady_clock::now() < end) {
    if (context.stopped()) context.restart();
    context.run_one_for(std::chrono::milliseconds(50));
  }
  REQUIRE(condition());
}

}  // namespace crankspur
