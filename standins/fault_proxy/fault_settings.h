#pragma once
/// @file Faults that the proxy injects on one route, and their JSON form.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/time.h"

namespace crankspur::standin {

/// Faults of a route. They apply to open and to new connections.
struct FaultSettings {
  Duration delay_to_server{0};
  Duration delay_to_client{0};
  bool refuse = false;  ///< The route's port is closed, so that connection attempts are refused.
  bool freeze = false;  ///< No bytes are forwarded in either direction; connections stay open.
  /// Bytes to the server are forwarded; the first bytes of the response are dropped and the connection is
  /// cut.
  bool swallow_answers = false;
  std::optional<std::uint64_t> cut_after_bytes;  ///< Bytes to the client after which each connection is cut.
  std::uint64_t bytes_per_second = 0;            ///< Bandwidth of each direction; 0: no limit.
  double cut_chance = 0;                         ///< Probability, for each chunk read, of a connection cut.
};

/// Body of one request to the control port.
struct ControlCommand {
  std::string route;  ///< Empty: all routes.
  bool cut_now = false;
  double silence_open = 0;  ///< Probability that an open connection goes silent permanently; new ones work.
  bool reset = false;       ///< Clear the present faults before the given fields are applied.
  // Fields that are absent leave the setting unchanged.
  std::optional<Duration> delay_to_server;
  std::optional<Duration> delay_to_client;
  std::optional<bool> refuse;
  std::optional<bool> freeze;
  std::optional<bool> swallow_answers;
  std::optional<std::uint64_t> cut_after_bytes;  ///< 0 removes the fault.
  std::optional<std::uint64_t> bytes_per_second;
  std::optional<double> cut_chance;

  /// Changes the settings whose fields were given.
  void applyTo(FaultSettings& settings) const;
};

/// Parses
/// {"route","cut_now","silence_open","reset","delay_to_server_ms","delay_to_client_ms","refuse","freeze",
/// "swallow_answers","cut_after_bytes_to_client","bytes_per_second","cut_chance"}, each optional.
/// @param reason why the command is invalid, when the result is empty.
std::optional<ControlCommand> parseControl(std::string_view json, std::string& reason);

}  // namespace crankspur::standin
