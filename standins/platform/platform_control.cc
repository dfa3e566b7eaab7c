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
const std::set<std::string_view> kFieldNames = {
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
    return ServiceMode::LoseResponses;
  }
  return std::nullopt;
}

/// Validates a control request and collects its changes; applies them only if the complete request is valid.
class ControlRequest {
public:
  ControlRequest(const json::object& object, PlatformModel& model, TimePoint now)
      : object_(object), model_(model), now_(now) {}

  /// @return the validation error; empty if the changes were applied.
  std::string validateAndApply() {
    rejectUnknownFields();
    readServices();
    readMachine();
    readRemoval();
    readLag();
    if (!error_.empty()) {
      return error_;
    }
    for (const std::function<void()>& change : pending_changes_) {
      change();
    }
    return {};
  }

private:
  bool hasField(std::string_view name) const {
    return object_.contains(json::string_view(name.data(), name.size()));
  }

  void rejectUnknownFields() {
    for (const auto& field : object_) {
      const std::string_view name(field.key().data(), field.key().size());
      if (kFieldNames.count(name) == 0) {
        error_ = fmt::format("'{}' is not a known field", name);
      }
    }
  }

  /// @return the field, or `default_value` if it is absent or invalid. Reports an error unless it is a number
  /// of at least 0.
  double readNumber(std::string_view name, double default_value) {
    if (!hasField(name)) {
      return default_value;
    }
    const std::optional<double> number = numberField(object_, name);
    if (!number || !(*number >= 0)) {
      error_ = fmt::format("'{}' must be a number of at least 0", name);
      return default_value;
    }
    return *number;
  }

  void readServices() {
    if (!hasField("service")) {
      return;
    }
    const std::vector<PlatformService> services =
        servicesByName(stringField(object_, "service").value_or(""));
    if (services.empty()) {
      error_ = "'service' must be table, objects, weights, machines or all";
    }
    if (hasField("mode")) {
      readBehaviour(services);
    }
    if (hasField("rate_per_second")) {
      readRate(services);
    }
  }

  void readBehaviour(const std::vector<PlatformService>& services) {
    const std::optional<ServiceMode> mode = modeByName(stringField(object_, "mode").value_or(""));
    if (!mode) {
      error_ = "'mode' must be up, slow, down or lose_answers";
      return;
    }
    ServiceBehaviour behaviour;
    behaviour.mode = *mode;
    behaviour.delay = Duration(static_cast<std::int64_t>(readNumber("delay_ms", 0) * 1000));
    behaviour.calls = static_cast<std::uint32_t>(readNumber("calls", 0));
    behaviour.loss_probability = readNumber("probability", behaviour.loss_probability);
    if (behaviour.loss_probability > 1.0) {
      error_ = "'probability' must be at most 1";
    }
    pending_changes_.emplace_back([this, services, behaviour] {
      for (const PlatformService service : services) {
        model_.setBehaviour(service, behaviour);
      }
    });
  }

  void readRate(const std::vector<PlatformService>& services) {
    const double rate = readNumber("rate_per_second", 0);
    const RateLimit limit{rate, std::max(1.0, readNumber("burst", rate))};
    if (!(rate > 0)) {
      error_ = "'rate_per_second' must be above 0";
    }
    pending_changes_.emplace_back([this, services, limit] {
      for (const PlatformService service : services) {
        model_.setRateLimit(service, limit);
      }
    });
  }

  void readMachine() {
    if (!hasField("machine")) {
      return;
    }
    const json::value& value = object_.at("machine");
    const std::optional<Machine> machine =
        value.is_object() ? machineFromJson(value.get_object()) : std::nullopt;
    if (!machine) {
      error_ = "'machine' is no machine";
      return;
    }
    pending_changes_.emplace_back([this, machine] { model_.putMachine(*machine, now_); });
  }

  void readRemoval() {
    if (!hasField("remove_machine")) {
      return;
    }
    const std::optional<std::string> name = stringField(object_, "remove_machine");
    if (!name) {
      error_ = "'remove_machine' must be a string";
      return;
    }
    pending_changes_.emplace_back([this, name] { model_.removeMachine(*name, now_); });
  }

  void readLag() {
    if (!hasField("machine_list_lag_ms")) {
      return;
    }
    const Duration lag(static_cast<std::int64_t>(readNumber("machine_list_lag_ms", 0) * 1000));
    pending_changes_.emplace_back([this, lag] { model_.setMachineListLag(lag); });
  }

  const json::object& object_;
  PlatformModel& model_;
  TimePoint now_;
  std::string error_;
  std::vector<std::function<void()>> pending_changes_;
};

}  // namespace

http::Response applyPlatformControl(const http::Request& request, PlatformModel& model, TimePoint now) {
  const std::optional<json::object> object = parseJsonObject(request.body);
  if (request.method != "POST" || !object) {
    return http::errorResponse(400, "invalid_request", "POST one JSON object", "not_run");
  }
  const std::string error = ControlRequest(*object, model, now).validateAndApply();
  if (!error.empty()) {
    return http::errorResponse(400, "invalid_request", error, "not_run");
  }
  return http::jsonResponse(200, "{}");
}

}  // namespace crankspur::standin
