#pragma once
/// @file Requests of a run, generated from a seed or read from a file.

#include <istream>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

#include "sim/experiment/site.h"

namespace crankspur::experiment {

/// A piece of prompt text, determined by its ID and length.
struct PromptSegment {
  std::uint64_t id = 0;
  std::uint32_t tokens = 0;
};

/// A request and its arrival time.
struct Arrival {
  Duration at{0};  ///< Time at the client since the start of the run.
  std::uint32_t tenant = 0;
  std::uint32_t max_tokens = 0;
  std::vector<PromptSegment> segments;  ///< Outermost level first.
};

/// Parameters of the workload generator.
struct WorkloadOptions {
  std::uint64_t seed = 1;
  Duration length{0};
  double load = 1.0;                 ///< Multiplier of the site's request rate.
  std::optional<Duration> shift_at;  ///< From then on the largest tenant sends only new texts, at twice the
                                     ///< rate, as after a new catalogue or a holiday opening.
  double noisy_factor = 1.0;         ///< Multiplier of the request rate of the noisy tenant.
};

/// The tenant whose request rate WorkloadOptions::noisy_factor multiplies; of medium size.
inline constexpr std::uint32_t kNoisyTenant = 3;

/// @return requests sorted by arrival time.
std::vector<Arrival> generateWorkload(const Site& site, const WorkloadOptions& options);

/// @return the prompt text of a request.
std::string promptText(const Arrival& arrival);

/// Writes one line per request: microseconds, tenant, maximum completion tokens, and id:tokens of each
/// segment.
void writeWorkload(std::ostream& out, const std::vector<Arrival>& arrivals);
/// @return the requests, or empty when a line is malformed or out of order.
std::optional<std::vector<Arrival>> readWorkload(std::istream& in);

}  // namespace crankspur::experiment
