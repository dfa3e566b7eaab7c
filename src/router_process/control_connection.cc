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

void bindControlCallbacks(PeerConnectionCallbacks& callbacks, boost::asio::io_context& context,
                          const std::unique_ptr<ControlThread>& control) {
  const auto post_to_control = [&context, &control](auto handler) {
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
  callbacks.on_ack =
      post_to_control([](ControlThread& control_thread, const PingAck& ack) { control_thread.onAck(ack); });
  callbacks.on_router = post_to_control(
      [](ControlThread& control_thread, const Hello& hello) { control_thread.onRouter(hello); });
  callbacks.on_bundle = post_to_control(
      [](ControlThread& control_thread, const BundleBody& body) { control_thread.onBundle(body); });
  callbacks.on_backends = post_to_control(
      [](ControlThread& control_thread, const BackendList& list) { control_thread.onBackends(list); });
  callbacks.on_load_digest = post_to_control(
      [](ControlThread& control_thread, const LoadDigest& digest) { control_thread.onLoadDigest(digest); });
  callbacks.on_claim_message = [&context, &control](Message message, std::string address) {
    boost::asio::post(context, [&control, message = std::move(message), address = std::move(address)] {
      control->onClaimMessage(message, address);
    });
  };
  callbacks.on_cache_summary =
      post_to_control([](ControlThread& control_thread, const CacheSummary& summary) {
        control_thread.onCacheSummary(summary);
      });
}

}  // namespace crankspur
