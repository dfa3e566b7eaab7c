#pragma once
/// @file Sizes, delays, engine figures and workload shapes of the sites that experiments run on.

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "standins/engine/engine_types.h"

namespace crankspur::experiment {

/// Shape of the prompts and arrivals of a site. Token counts are means; each text has a fixed length of its
/// own between half and one and a half times the mean.
struct WorkloadShape {
  std::uint32_t tenants = 8;
  double tenant_zipf = 1.0;            ///< Exponent of the tenants' rates: a few are large.
  std::uint32_t catalogue_tokens = 0;  ///< First level: a catalogue or a park policy.
  std::uint32_t catalogues = 1;        ///< First-level texts of a tenant.
  double catalogue_zipf = 1.0;
  std::uint32_t rules_tokens = 0;  ///< Second level: franchise rules or a family's history.
  std::uint32_t rules = 1;         ///< Second-level texts below each catalogue.
  double rules_zipf = 1.0;
  std::uint32_t question_tokens = 0;  ///< Own text of each request.
  double follow_up_chance = 0;        ///< Chance that a request is followed by one that extends it.
  Duration follow_up_delay{0};        ///< Mean time until then.
  double short_chance = 0;            ///< Chance of a short question below the catalogue alone.
  std::uint32_t short_tokens = 0;
  std::uint32_t answer_tokens = 0;        ///< Maximum of an answer.
  std::uint32_t short_answer_tokens = 0;  ///< Maximum of the answer to a short question.
};

/// One site.
struct Site {
  std::string name;
  std::uint32_t zones = 3;
  std::uint32_t engines = 0;
  std::uint32_t routers = 0;
  std::uint32_t sidecars = 0;
  Duration delay_in_zone{0};        ///< One way.
  Duration delay_between_zones{0};  ///< One way.
  Duration delay_to_client{0};      ///< One way.
  Duration deadline{0};             ///< A first token later than this is a miss.
  double requests_per_second = 0;   ///< At load 1: round robin has just begun to miss the deadline.
  standin::EngineTimings timings;
  WorkloadShape shape;
};

/// @return the site of that name: parts_desk, tallow_creek or two_year.
std::optional<Site> findSite(std::string_view name);

}  // namespace crankspur::experiment
