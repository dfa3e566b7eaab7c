#pragma once
/// @file The faults that the proxy puts on one route, and their JSON form.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/time.h"

namespace crankspur::standin {

/// Standing faults of a route. They hold for open connections and for new ones.
struct FaultSettings {
  Duration delay_to_server{0};
  Duration delay_to_client{0};
  bool refuse = false;  ///< The route's port is closed: a connect is refused.
  bool freeze = false;  ///< Nothing passes either way; connections stay open.
  bool swallow_answers =
      false;  ///< Bytes to the server pass; the first answer is dropped and the connection cut.
  std::optional<std::uint64_t> cut_after_bytes;  ///< Bytes to the client after which each connection is cut.
  std::uint64_t bytes_per_second = 0;            ///< Bandwidth of each direction; 0 means no limit.
  double cut_chance = 0;                         ///< Probability that a piece of bytes cuts its connection.
};

/// One call of the control port.
struct ControlCommand {
  std::string route;  ///< Empty means every route.
  bool cut_now = false;
  double silence_open = 0;  ///< Probability that an open connection goes silent for good; new ones work.
  bool reset = false;       ///< Begin from no faults instead of those now set.
  // The fields that were given; others stay as they are.
  std::optional<Duration> delay_to_server;
  std::optional<Duration> delay_to_client;
  std::optional<bool> refuse;
  std::optional<bool> freeze;
  std::optional<bool> swallow_answers;
  std::optional<std::uint64_t> cut_after_bytes;  ///< 0 takes the fault away.
  std::optional<std::uint64_t> bytes_per_second;
  std::optional<double> cut_chance;

  /// Changes the given fields.
  void applyTo(FaultSettings& settings) const;
};

/// Reads
/// {"route","cut_now","silence_open","reset","delay_to_server_ms","delay_to_client_ms","refuse","freeze",
/// "swallow_answers","cut_after_bytes_to_client","bytes_per_second","cut_chance"}, each optional.
/// @param problem says what is wrong when the result is empty.
std::optional<ControlCommand> parseControl(std::string_view json, std::string& problem);

}  // namespace crankspur::standin
