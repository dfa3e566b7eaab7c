#include "tools/hollow/hollow_node.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <utility>

namespace crankspur::scale {

namespace {

std::string valueOf(const std::vector<LogField>& fields, std::string_view name) {
  const auto found = std::find_if(fields.begin(), fields.end(),
                                  [name](const LogField& field) { return field.name == name; });
  return found == fields.end() ? std::string() : found->value;
}

}  // namespace

void HollowLog::write(EventId event, const std::vector<LogField>& fields) {
  const std::string dead = memberStateName(MemberState::Dead);
  if (event == EventId::MemberChanged) {
    const bool was_dead = valueOf(fields, "from") == dead;
    const bool is_dead = valueOf(fields, "to") == dead;
    if (was_dead && !is_dead) ++live_members_;
    if (is_dead && !was_dead) --live_members_;
  } else if (event == EventId::BackendStateChanged) {
    engine_is_live_[valueOf(fields, "name")] = valueOf(fields, "to") == engineStateName(EngineState::Live);
  } else if (event == EventId::RouterBundleTaken) {
    const std::string version = valueOf(fields, "version");
    std::from_chars(version.data(), version.data() + version.size(), bundle_version_);
  }
}

std::uint32_t HollowLog::liveEngines() const {
  return static_cast<std::uint32_t>(std::count_if(engine_is_live_.begin(), engine_is_live_.end(),
                                                  [](const auto& engine) { return engine.second; }));
}

HollowNode::HollowNode(boost::asio::io_context& context, RouterSettings settings, std::uint64_t incarnation)
    : context_(context),
      settings_(std::move(settings)),
      incarnation_(incarnation),
      front_{EventLoopThread(context), nullptr} {}

std::error_code HollowNode::listen() {
  PeerFrontCallbacks callbacks;
  callbacks.on_submit = [](SidecarId, const SubmitRequest&) {};
  callbacks.on_cancel = [](SidecarId, const Cancel&) {};
  callbacks.on_sidecar_lost = [](SidecarId) {};
  connectControl(callbacks, context_, control_);
  front_.front = std::make_unique<PeerFront>(front_.thread.executor(), routerHello(settings_, incarnation_),
                                             std::move(callbacks));
  if (const std::error_code error = front_.front->listen(settings_.listen)) return error;
  settings_.advertise = fmt::format("127.0.0.1:{}", front_.front->port());
  front_.front->setAdvertised(settings_.advertise);
  return {};
}

void HollowNode::start() {
  const MemberRecord self{settings_.name,
                          settings_.advertise,
                          settings_.zone,
                          settings_.region,
                          incarnation_,
                          MemberState::Alive,
                          0};
  control_ = std::make_unique<ControlThread>(context_, settings_, self, front_, no_shards_, log_, metrics_);
  control_->start();
}

}  // namespace crankspur::scale
