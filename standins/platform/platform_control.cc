#include "standins/platform/platform_control.h"

#include <fmt/format.h>

#include <functional>
#include <optional>
#include <set>
#include <string_view>

#include "json/json_fields.h"
#include "machine_list/machine_codec.h"

namespace crankspur::standin {

namespace {

namespace json = boost::json;

constexpr std::array<const char*, kPlatformServiceCount> kServiceNames = {"table", "objects", "weights",
                                                                          "machines"};
const std::set<std::string_view> kKnownFields = {
    "service",         "mode",  "delay_ms", "calls",          "probability",
    "rate_per_second", "burst", "machine",  "remove_machine", "machine_list_lag_ms"};

std::vector<PlatformService> servicesByName(std::string_view name) {
  std::vector<PlatformService> services;
  for (std::size_t index = 0; index < kPlatformServiceCount; ++index) {
    if (name == "all" || name == kServiceNames[index]) {
      services.push_back(kPlatformServices[index]);
    }
  }
  return services;
}

std::optional<ServiceMode> modeByName(std::string_view name) {
  if (name == "up") {
    return ServiceMode::Up;
  }
  if (name == "slow") {
    return ServiceMode::Slow;
  }
  if (name == "down") {
    return ServiceMode::Down;
  }
  if (name == "lose_answers") {
    return ServiceMode::LoseAnswers;
  }
  return std::nullopt;
}

/// Checks a control request and collects its changes; applies them only when all are right.
class ControlReader {
public:
  ControlReader(const json::object& object, PlatformModel& model, TimePoint now)
      : object_(object), model_(model), now_(now) {}

  /// @return empty, or what is wrong.
  std::string readAndApply() {
    checkKnownFields();
    readServices();
    readMachine();
    readRemoval();
    readLag();
    if (!problem_.empty()) {
      return problem_;
    }
    for (const std::function<void()>& change : changes_) {
      change();
    }
    return {};
  }

private:
  bool has(std::string_view name) const {
    return object_.contains(json::string_view(name.data(), name.size()));
  }

  void checkKnownFields() {
    for (const auto& field : object_) {
      const std::string_view name(field.key().data(), field.key().size());
      if (kKnownFields.count(name) == 0) {
        problem_ = fmt::format("'{}' is not a known field", name);
      }
    }
  }

  /// @return the field, or `fallback` when absent; anything but a number of at least 0 is a problem.
  double readNumber(std::string_view name, double fallback) {
    if (!has(name)) {
      return fallback;
    }
    const std::optional<double> number = numberField(object_, name);
    if (!number || !(*number >= 0)) {
      problem_ = fmt::format("'{}' must be a number of at least 0", name);
      return fallback;
    }
    return *number;
  }

  void readServices() {
    if (!has("service")) {
      return;
    }
    const std::vector<PlatformService> services =
        servicesByName(stringField(object_, "service").value_or(""));
    if (services.empty()) {
      problem_ = "'service' must be table, objects, weights, machines or all";
    }
    if (has("mode")) {
      readBehaviour(services);
    }
    if (has("rate_per_second")) {
      readRate(services);
    }
  }

  void readBehaviour(const std::vector<PlatformService>& services) {
    const std::optional<ServiceMode> mode = modeByName(stringField(object_, "mode").value_or(""));
    if (!mode) {
      problem_ = "'mode' must be up, slow, down or lose_answers";
      return;
    }
    ServiceBehaviour behaviour;
    behaviour.mode = *mode;
    behaviour.delay = Duration(static_cast<std::int64_t>(readNumber("delay_ms", 0) * 1000));
    behaviour.calls = static_cast<std::uint32_t>(readNumber("calls", 0));
    behaviour.lose_probability = readNumber("probability", behaviour.lose_probability);
    if (behaviour.lose_probability > 1.0) {
      problem_ = "'probability' must be at most 1";
    }
    changes_.emplace_back([this, services, behaviour] {
      for (const PlatformService service : services) {
        model_.setBehaviour(service, behaviour);
      }
    });
  }

  void readRate(const std::vector<PlatformService>& services) {
    const double rate = readNumber("rate_per_second", 0);
    const RateLimit limit{rate, std::max(1.0, readNumber("burst", rate))};
    if (!(rate > 0)) {
      problem_ = "'rate_per_second' must be above 0";
    }
    changes_.emplace_back([this, services, limit] {
      for (const PlatformService service : services) {
        model_.setRateLimit(service, limit);
      }
    });
  }

  void readMachine() {
    if (!has("machine")) {
      return;
    }
    const json::value& value = object_.at("machine");
    const std::optional<Machine> machine =
        value.is_object() ? machineFromJson(value.get_object()) : std::nullopt;
    if (!machine) {
      problem_ = "'machine' is no machine";
      return;
    }
    changes_.emplace_back([this, machine] { model_.putMachine(*machine, now_); });
  }

  void readRemoval() {
    if (!has("remove_machine")) {
      return;
    }
    const std::optional<std::string> name = stringField(object_, "remove_machine");
    if (!name) {
      problem_ = "'remove_machine' must be a string";
      return;
    }
    changes_.emplace_back([this, name] { model_.removeMachine(*name, now_); });
  }

  void readLag() {
    if (!has("machine_list_lag_ms")) {
      return;
    }
    const Duration lag(static_cast<std::int64_t>(readNumber("machine_list_lag_ms", 0) * 1000));
    changes_.emplace_back([this, lag] { model_.setMachineListLag(lag); });
  }

  const json::object& object_;
  PlatformModel& model_;
  TimePoint now_;
  std::string problem_;
  std::vector<std::function<void()>> changes_;
};

}  // namespace

http::Response applyPlatformControl(const http::Request& request, PlatformModel& model, TimePoint now) {
  const std::optional<json::object> object = parseJsonObject(request.body);
  if (request.method != "POST" || !object) {
    return http::errorResponse(400, "invalid_request", "POST one JSON object", "not_run");
  }
  const std::string problem = ControlReader(*object, model, now).readAndApply();
  if (!problem.empty()) {
    return http::errorResponse(400, "invalid_request", problem, "not_run");
  }
  return http::jsonResponse(200, "{}");
}

}  // namespace crankspur::standin
