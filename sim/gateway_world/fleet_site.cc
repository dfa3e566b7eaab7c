#include "sim/gateway_world/fleet_site.h"

namespace crankspur::gateway_sim {
namespace {

using gateway::Configuration;
using gateway::Pool;
using gateway::Repeatability;
using gateway::Route;

/// Longer than the first quarantine, so that the quarantine ends within the run.
constexpr Duration kLoadTime = std::chrono::seconds(100);
/// Bodies from this number on are poison requests; all others are harmless.
constexpr BodyId kFirstPoisonBody = 1'000'000;
constexpr std::uint32_t kSmallFleet = 8;
constexpr std::uint32_t kLargeFleet = 40;
constexpr double kLargeFleetChance = 0.05;

Route makeRoute(const FleetSite& site, RequestKind kind, Repeatability repeatability) {
  Route route;
  route.name = pathOf(kind);
  route.host = kFleetHost;
  route.path_prefix = pathOf(kind);
  route.repeatability = repeatability;
  route.streaming = kind == RequestKind::resumable_stream;
  route.uses_prefixes = route.streaming;
  route.timeout = std::chrono::seconds(6);
  route.first_byte_target = std::chrono::milliseconds(600);
  route.event_gap_target = std::chrono::milliseconds(400);
  route.max_attempts = site.max_attempts;
  route.pools = {{kFleetPool, 1}};
  return route;
}

PoisonRequest drawPoison(RandomSource& random, std::uint32_t number, TimePoint start) {
  PoisonRequest poison;
  poison.body = kFirstPoisonBody + number;
  poison.effect = static_cast<PoisonEffect>(random.uniform(0, 2));
  poison.from = start + std::chrono::milliseconds(random.uniform(1'000, 20'000));
  poison.to = start + kLoadTime;
  poison.mean_interval = std::chrono::milliseconds(random.uniform(300, 3'000));
  poison.concurrent = random.chance(0.3);
  return poison;
}

}  // namespace

std::string pathOf(RequestKind kind) {
  switch (kind) {
    case RequestKind::plain:
      return "/look/";
    case RequestKind::resumable_stream:
      return "/review/";
    case RequestKind::at_most_once:
      return "/order/";
  }
  return "/";
}

gateway::RetryBudgetSettings retryBudgetOf(const FleetSite& site) {
  gateway::RetryBudgetSettings budget;
  budget.slack = site.retry_slack_per_gateway * site.gateways;
  return budget;
}

FleetSite drawFleetSite(RandomSource& random, TimePoint start) {
  FleetSite site;
  const bool large = random.chance(kLargeFleetChance);
  site.gateways = static_cast<std::uint32_t>(random.uniform(3, large ? kLargeFleet : kSmallFleet));
  site.engines = static_cast<std::uint32_t>(random.uniform(8, 20));
  site.requests_per_second = 6 + 10 * random.unit();
  site.load_time = kLoadTime;
  const std::uint64_t poison_requests = random.uniform(0, 3);
  for (std::uint32_t number = 0; number < poison_requests; ++number) {
    site.poison.push_back(drawPoison(random, number, start));
  }
  return site;
}

std::shared_ptr<const Configuration> makeFleetConfiguration(const FleetSite& site) {
  auto configuration = std::make_shared<Configuration>();
  configuration->version = 1;
  configuration->routes = {makeRoute(site, RequestKind::plain, Repeatability::Repeatable),
                           makeRoute(site, RequestKind::resumable_stream, Repeatability::ResumableStream),
                           makeRoute(site, RequestKind::at_most_once, Repeatability::AtMostOnce)};
  Pool pool;
  pool.name = kFleetPool;
  pool.health_path = "/healthz";
  pool.cache_tokens = 100'000;
  pool.token_bytes = 1'000;
  pool.models = {kFleetModel};
  configuration->pools = {pool};
  configuration->tenants = {{"tenant", {kFleetKey}, std::nullopt, false}};
  return configuration;
}

}  // namespace crankspur::gateway_sim
