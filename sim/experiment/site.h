#pragma once
/// @file Sizes, network delays, engine timings and workload shapes of the simulated sites.

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "standins/engine/engine_types.h"

namespace crankspur::experiment {

/// Shape of the prompts and arrivals of a site. Token counts are means; each text has a fixed length between
/// 0.5 and 1.5 times the mean.
struct WorkloadShape {
  std::uint32_t tenants = 8;
  double tenant_zipf = 1.0;            ///< Zipf exponent of the tenants' request rates.
  std::uint32_t catalogue_tokens = 0;  ///< First prompt level: a catalogue or a park policy.
  std::uint32_t catalogues = 1;        ///< Number of first-level texts per tenant.
  double catalogue_zipf = 1.0;
  std::uint32_t rules_tokens = 0;  ///< Second prompt level: franchise rules or a family's history.
  std::uint32_t rules = 1;         ///< Number of second-level texts per catalogue.
  double rules_zipf = 1.0;
  std::uint32_t question_tokens = 0;  ///< Text unique to each request.
  double follow_up_chance = 0;        ///< Mean number of follow-ups of a request; each extends the prompt.
  Duration follow_up_delay{0};        ///< Mean time between a request and its follow-up.
  double short_chance = 0;            ///< Probability of a short question without a rules text.
  std::uint32_t short_tokens = 0;
  std::uint32_t answer_tokens = 0;        ///< Maximum length of a completion.
  std::uint32_t short_answer_tokens = 0;  ///< Maximum length of the completion of a short question.
};

/// A simulated site.
struct Site {
  std::string name;
  std::uint32_t zones = 3;
  std::uint32_t engines = 0;
  std::uint32_t routers = 0;
  std::uint32_t sidecars = 0;
  Duration delay_in_zone{0};        ///< One way.
  Duration delay_between_zones{0};  ///< One way.
  Duration delay_to_client{0};      ///< One way.
  Duration deadline{0};             ///< Of the first token.
  double requests_per_second = 0;   ///< At load 1, where round robin just begins to miss deadlines.
  standin::EngineTimings timings;
  WorkloadShape shape;
};

/// @return the site of that name: parts_desk, tallow_creek or two_year.
std::optional<Site> findSite(std::string_view name);

}  // namespace crankspur::experiment
