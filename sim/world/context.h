#pragma once
/// @file Services shared by all simulated nodes: time, network, trace, records and node lookup.

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "base/random.h"
#include "sim/kernel/network.h"
#include "sim/kernel/trace.h"
#include "sim/world/mechanism.h"
#include "sim/world/records.h"

namespace crankspur::sim {

class RouterNode;
class SidecarNode;
class EngineNode;
class RunnerNode;
class PlatformNode;

/// Resolves node names, in place of network addresses.
class NodeDirectory {
public:
  virtual ~NodeDirectory() = default;
  /// @return the node, or nullptr if the name is unknown. Applies to all lookups below.
  virtual RouterNode* router(const std::string& name) = 0;
  virtual SidecarNode* sidecar(const std::string& name) = 0;
  virtual EngineNode* engine(const std::string& name) = 0;
  virtual RunnerNode* runner(const std::string& name) = 0;
  virtual PlatformNode& platform() = 0;
};

/// State and services shared by all nodes of one run.
struct Context {
  EventQueue& queue;
  Network& network;
  Trace& trace;
  Records& records;
  RandomSource& random;
  const RemovedMechanisms& removed;
  NodeDirectory& directory;
  /// Fraction of received bundle bodies that are delivered again after a long delay.
  double duplicate_bundle_rate = 0;

  bool without(Mechanism mechanism) const { return removed.contains(mechanism); }
};

/// Executes a request/response exchange between two hosts. `handle` runs at the server and receives the
/// function that sends the response; `done` runs once at the client, with the response or, after `timeout`,
/// with std::nullopt.
template <typename Reply>
void call(Context& context, Host& client, Host& server, Duration timeout,
          std::function<void(std::function<void(Reply)>)> handle,
          std::function<void(std::optional<Reply>)> done) {
  auto completed = std::make_shared<bool>(false);
  const auto complete = [completed, done](std::optional<Reply> reply) {
    if (*completed) return;
    *completed = true;
    done(std::move(reply));
  };
  client.post(timeout, [complete] { complete(std::nullopt); });
  const std::uint64_t epoch = client.epoch();
  const auto send_response = [&context, &client, &server, epoch, complete](Reply reply) {
    if (context.network.isBlocked(server, client)) return;
    context.queue.after(context.network.delay(server, client), [&client, epoch, complete, reply] {
      client.run(epoch, [complete, reply] { complete(reply); });
    });
  };
  context.network.datagram(client, server, [handle, send_response] { handle(send_response); });
}

}  // namespace crankspur::sim
