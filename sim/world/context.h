#pragma once
/// @file What every simulated node needs: time, network, trace, records and the nodes it may reach.

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

/// Finds nodes by name, as an address would.
class Directory {
public:
  virtual ~Directory() = default;
  /// @return the node, or nullptr.
  virtual RouterNode* router(const std::string& name) = 0;
  virtual SidecarNode* sidecar(const std::string& name) = 0;
  virtual EngineNode* engine(const std::string& name) = 0;
  virtual RunnerNode* runner(const std::string& name) = 0;
  virtual PlatformNode& platform() = 0;
};

/// Shared by all nodes of one run.
struct Context {
  EventQueue& queue;
  Network& network;
  Trace& trace;
  Records& records;
  RandomSource& random;
  const RemovedMechanisms& removed;
  Directory& directory;
  /// Share of bundle bodies that come a second time, much later.
  double repeated_bundle_share = 0;

  bool without(Mechanism mechanism) const { return removed.contains(mechanism); }
};

/// Runs a request and its answer between two hosts. `handle` runs at the server and is given the function
/// that sends the answer; `done` runs at the client with the answer, or with none after `timeout`.
template <typename Reply>
void call(Context& context, Host& client, Host& server, Duration timeout,
          std::function<void(std::function<void(Reply)>)> handle,
          std::function<void(std::optional<Reply>)> done) {
  auto settled = std::make_shared<bool>(false);
  const auto settle = [settled, done](std::optional<Reply> reply) {
    if (*settled) return;
    *settled = true;
    done(std::move(reply));
  };
  client.post(timeout, [settle] { settle(std::nullopt); });
  const std::uint64_t epoch = client.epoch();
  const auto answer = [&context, &client, &server, epoch, settle](Reply reply) {
    if (context.network.isBlocked(server, client)) return;
    context.queue.after(context.network.delay(server, client), [&client, epoch, settle, reply] {
      client.run(epoch, [settle, reply] { settle(reply); });
    });
  };
  context.network.datagram(client, server, [handle, answer] { handle(answer); });
}

}  // namespace crankspur::sim
