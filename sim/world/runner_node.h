#pragma once
/// @file An application runner of the simulation: each call is one execution, without any deduplication.

#include <functional>
#include <string>

#include "sim/world/context.h"

namespace crankspur::sim {

/// One application runner.
class RunnerNode {
public:
  RunnerNode(Context& context, Host& host) : context_(context), host_(host) { host_.start(); }

  /// Executes at this host; `done` gets the result there.
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
