#pragma once
/// @file Runs the event loop of a test until a condition holds.

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <functional>

namespace crankspur {

/// Runs handlers of `context` until `condition` holds; fails the test if it does not within 20 s.
inline void runUntil(boost::asio::io_context& context, const std::function<bool()>& condition) {
  constexpr std::chrono::seconds kTimeout{20};
  const auto deadline = std::chrono::steady_clock::now() + kTimeout;
  while (!condition() && std::chrono::steady_clock::now() < deadline) {
    if (context.stopped()) context.restart();
    context.run_one_for(std::chrono::milliseconds(50));
  }
  REQUIRE(condition());
}

}  // namespace crankspur
