#pragma once
/// @file Simulated application runner: every call is executed; calls are not deduplicated.

#include <functional>
#include <string>

#include "sim/world/context.h"

namespace crankspur::sim {

class RunnerNode {
public:
  RunnerNode(Context& context, Host& host) : context_(context), host_(host) { host_.start(); }

  /// Executes the request at this host, where `done` runs with the result.
  void execute(const SubmitRequest& request, std::function<void(std::string result)> done);
  bool leaving() const { return leaving_; }
  std::uint64_t incarnation() const { return host_.epoch(); }
  void startLeaving() { leaving_ = true; }
  void crash(bool silent);
  void restart();
  Host& host() { return host_; }

private:
  Context& context_;
  Host& host_;
  bool leaving_ = false;
};

}  // namespace crankspur::sim
