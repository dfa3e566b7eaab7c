#include <boost/asio/post.hpp>
#include <utility>

#include "router_process/control_thread.h"

namespace crankspur {

Hello routerHello(const RouterSettings& settings, std::uint64_t incarnation) {
  Hello hello;
  hello.node_name = settings.name;
  hello.incarnation = incarnation;
  hello.role = NodeRole::Router;
  hello.zone = settings.zone;
  hello.region = settings.region;
  return hello;
}

void connectControl(PeerConnectionCallbacks& callbacks, boost::asio::io_context& context,
                    const std::unique_ptr<ControlThread>& control) {
  const auto hand_on = [&context, &control](auto handler) {
    return [&context, &control, handler](auto&& message) {
      boost::asio::post(context, [&control, handler, message = std::forward<decltype(message)>(message)] {
        handler(*control, message);
      });
    };
  };
  callbacks.on_ping = [&context, &control](Ping ping, std::string address) {
    boost::asio::post(context, [&control, ping = std::move(ping), address = std::move(address)] {
      control->onPing(ping, address);
    });
  };
  callbacks.on_ack = hand_on([](ControlThread& state, const PingAck& ack) { state.onAck(ack); });
  callbacks.on_router = hand_on([](ControlThread& state, const Hello& hello) { state.onRouter(hello); });
  callbacks.on_bundle = hand_on([](ControlThread& state, const BundleBody& body) { state.onBundle(body); });
  callbacks.on_backends =
      hand_on([](ControlThread& state, const BackendList& list) { state.onBackends(list); });
  callbacks.on_load_digest =
      hand_on([](ControlThread& state, const LoadDigest& digest) { state.onLoadDigest(digest); });
  callbacks.on_claim_message = [&context, &control](Message message, std::string address) {
    boost::asio::post(context, [&control, message = std::move(message), address = std::move(address)] {
      control->onClaimMessage(message, address);
    });
  };
  callbacks.on_cache_summary =
      hand_on([](ControlThread& state, const CacheSummary& summary) { state.onCacheSummary(summary); });
}

}  // namespace crankspur
