#include "standins/fault_proxy/fault_settings.h"

#include <fmt/format.h>

#include "json/json_fields.h"

namespace crankspur::standin {

namespace {

constexpr double kMaxDelayMilliseconds = 3'600'000;

template <typename Value>
bool storeValue(const std::optional<Value>& value, std::optional<Value>& target) {
  target = value;
  return value.has_value();
}

bool storeFlag(const std::optional<bool>& value, bool& target) {
  target = value.value_or(false);
  return value.has_value();
}

bool storeDelay(const std::optional<double>& milliseconds, std::optional<Duration>& target) {
  if (!milliseconds || *milliseconds < 0 || *milliseconds > kMaxDelayMilliseconds) return false;
  target = Duration(static_cast<Duration::rep>(*milliseconds * 1000));
  return true;
}

bool storeProbability(const std::optional<double>& value, std::optional<double>& target) {
  target = value;
  return value && *value >= 0 && *value <= 1;
}

bool storeNonZeroProbability(const std::optional<double>& value, double& target) {
  target = value.value_or(0);
  return target > 0 && target <= 1;
}

/// @return whether the field is known and its value valid.
bool readField(const boost::json::object& object, std::string_view name, ControlCommand& command) {
  if (name == "route") {
    command.route = stringField(object, name).value_or("");
    return !command.route.empty();
  }
  if (name == "cut_now") return storeFlag(boolField(object, name), command.cut_now);
  if (name == "silence_open") return storeNonZeroProbability(numberField(object, name), command.silence_open);
  if (name == "reset") return storeFlag(boolField(object, name), command.reset);
  if (name == "delay_to_server_ms") return storeDelay(numberField(object, name), command.delay_to_server);
  if (name == "delay_to_client_ms") return storeDelay(numberField(object, name), command.delay_to_client);
  if (name == "refuse") return storeValue(boolField(object, name), command.refuse);
  if (name == "freeze") return storeValue(boolField(object, name), command.freeze);
  if (name == "swallow_answers") return storeValue(boolField(object, name), command.swallow_answers);
  if (name == "cut_after_bytes_to_client")
    return storeValue(unsignedField(object, name), command.cut_after_bytes);
  if (name == "bytes_per_second") return storeValue(unsignedField(object, name), command.bytes_per_second);
  if (name == "cut_chance") return storeProbability(numberField(object, name), command.cut_chance);
  return false;
}

}  // namespace

void ControlCommand::applyTo(FaultSettings& settings) const {
  if (reset) settings = {};
  if (delay_to_server) settings.delay_to_server = *delay_to_server;
  if (delay_to_client) settings.delay_to_client = *delay_to_client;
  if (refuse) settings.refuse = *refuse;
  if (freeze) settings.freeze = *freeze;
  if (swallow_answers) settings.swallow_answers = *swallow_answers;
  if (cut_after_bytes) {
    settings.cut_after_bytes = *cut_after_bytes == 0 ? std::nullopt : cut_after_bytes;
  }
  if (bytes_per_second) settings.bytes_per_second = *bytes_per_second;
  if (cut_chance) settings.cut_chance = *cut_chance;
}

std::optional<ControlCommand> parseControl(std::string_view json, std::string& reason) {
  const std::optional<boost::json::object> object = parseJsonObject(json);
  if (!object) {
    reason = "the body must be one JSON object";
    return std::nullopt;
  }
  ControlCommand command;
  for (const auto& field : *object) {
    const std::string_view name(field.key().data(), field.key().size());
    if (readField(*object, name, command)) continue;
    reason = fmt::format("\"{}\" is no field of a control command, or its value is wrong", name);
    return std::nullopt;
  }
  return command;
}

}  // namespace crankspur::standin
