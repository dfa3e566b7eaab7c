#pragma once
/// @file Requests of a run: generated from a seed, or read back from a file.

#include <istream>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

#include "sim/experiment/site.h"

namespace crankspur::experiment {

/// A piece of prompt text, fixed by its number and length.
struct PromptSegment {
  std::uint64_t id = 0;
  std::uint32_t tokens = 0;
};

/// One request.
struct Arrival {
  Duration at{0};  ///< Since the start of the run, at the client.
  std::uint32_t tenant = 0;
  std::uint32_t max_tokens = 0;
  std::vector<PromptSegment> segments;  ///< Outermost level first.
};

/// What a run's requests depend on.
struct WorkloadOptions {
  std::uint64_t seed = 1;
  Duration length{0};
  double load = 1.0;                 ///< Factor on the site's request rate.
  std::optional<Duration> shift_at;  ///< The largest tenant's texts are all new from then on, and it
                                     ///< sends twice as much: a new catalogue, or a holiday opening.
  double noisy_factor = 1.0;         ///< Factor on the rate of the noisy tenant.
};

/// The tenant whose rate WorkloadOptions::noisy_factor changes: of middling size.
inline constexpr std::uint32_t kNoisyTenant = 3;

/// @return requests in the order of their times.
std::vector<Arrival> generateWorkload(const Site& site, const WorkloadOptions& options);

/// @return the prompt text of a request.
std::string promptText(const Arrival& arrival);

/// Writes one line per request: microseconds, tenant, maximum answer tokens, and id:tokens of each segment.
void writeWorkload(std::ostream& out, const std::vector<Arrival>& arrivals);
/// @return the requests, or empty when a line is malformed.
std::optional<std::vector<Arrival>> readWorkload(std::istream& in);

}  // namespace crankspur::experiment
