#include "sim/world/workload.h"

#include <fmt/format.h>

#include "sim/world/bundle_maker.h"
#include "sim/world/sidecar_node.h"

namespace crankspur::sim {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kCatalogueEntries = 24;
constexpr std::size_t kRuleEntries = 8;
constexpr std::uint64_t kMinCompletionTokens = 8;
constexpr std::uint64_t kMaxCompletionTokens = 96;
constexpr Duration kDeadline = seconds(10);
constexpr std::uint32_t kMaxOrderTries = 3;
/// Fraction of orders that are retried before their response.
constexpr double kEarlyRetryShare = 0.3;
constexpr double kOrderShare = 0.7;
constexpr double kAdapterShare = 0.2;

}  // namespace

Workload::Workload(World& world, std::uint64_t seed) : world_(world), random_(seed) {}

void Workload::start() {
  load_ends_at_ = world_.context().queue.now() + world_.site().load;
  scheduleNext();
}

void Workload::scheduleNext() {
  const double mean = 1e6 / world_.site().requests_per_second;
  const auto delay = Duration(static_cast<std::int64_t>(random_.exponential(mean)));
  world_.context().queue.after(delay, [this] {
    if (world_.context().queue.now() >= load_ends_at_) return;
    send();
    scheduleNext();
  });
}

void Workload::send() {
  const std::vector<std::string>& tenants = world_.site().tenants;
  // The product of two uniform variates skews traffic towards the first tenants.
  const auto index =
      static_cast<std::size_t>(random_.unit() * random_.unit() * static_cast<double>(tenants.size()));
  const bool operation = random_.chance(world_.site().operation_share);
  SubmitRequest request = operation ? makeOperation(tenants[index]) : makeCompletion(tenants[index]);
  request.request_id = fmt::format("request-{}", next_request_++);
  request.tenant = tenants[index];
  request.deadline = kDeadline;
  if (duplicate_prompts_ && !operation) {
    SubmitRequest duplicate = request;
    duplicate.request_id = fmt::format("request-{}", next_request_++);
    duplicate.tenant = tenants[(index + 1) % tenants.size()];
    sendAt(random_.uniform(0, world_.sidecarCount() - 1), std::move(duplicate), 1);
  }
  sendAt(random_.uniform(0, world_.sidecarCount() - 1), std::move(request), 1);
}

std::string Workload::catalogue() const {
  std::string text;
  for (std::size_t entry = 0; entry < kCatalogueEntries; ++entry) {
    text += fmt::format("catalogue {:04} page {:03}: hull fitting, plank, rudder pin, price on asking.\n",
                        catalogue_, entry);
  }
  return text;
}

SubmitRequest Workload::makeCompletion(const std::string& tenant) {
  SubmitRequest request;
  request.kind = RequestKind::Completion;
  request.model = kModel;
  if (random_.chance(kAdapterShare)) request.adapter = "reviews";
  // All tenants send an identical catalogue, so that cache entries differ in their scope only.
  request.prompt = catalogue();
  if (random_.chance(0.7)) {
    for (std::size_t entry = 0; entry < kRuleEntries; ++entry) {
      request.prompt += fmt::format("rule {:03} of {}: discounts need the keel number.\n", entry, tenant);
    }
  }
  request.prompt += fmt::format("question {}: which part?", next_request_);
  request.max_tokens =
      static_cast<std::uint32_t>(random_.uniform(kMinCompletionTokens, kMaxCompletionTokens));
  return request;
}

SubmitRequest Workload::makeOperation(const std::string& tenant) {
  SubmitRequest request;
  request.kind = RequestKind::Application;
  request.repeatable = !random_.chance(kOrderShare);
  request.operation = request.repeatable ? "stock" : "order";
  if (!request.repeatable) request.idempotency_key = fmt::format("key-{}", next_key_++);
  request.prompt = fmt::format("{} {} of {}", request.operation, next_request_, tenant);
  return request;
}

void Workload::sendAt(std::size_t sidecar, SubmitRequest request, std::uint32_t tries) {
  SidecarNode& node = world_.sidecarAt(sidecar);
  // Falls back to the first running sidecar.
  if (!node.host().up()) {
    for (std::size_t other = 0; other < world_.sidecarCount(); ++other) {
      if (world_.sidecarAt(other).host().up()) return sendAt(other, std::move(request), tries);
    }
    return;
  }
  CallerRecord& record = world_.context().records.callers.emplace_back();
  record.request = std::move(request);
  const bool order = !record.request.idempotency_key.empty();
  node.host().run(node.host().epoch(), [&node, &record] { node.submit(record); });
  if (order && tries < kMaxOrderTries) scheduleOrderRetry(record, tries);
}

void Workload::scheduleOrderRetry(const CallerRecord& record, std::uint32_t tries) {
  const bool early_retry = random_.chance(kEarlyRetryShare);
  const Duration retry_delay =
      early_retry ? milliseconds(random_.uniform(1, 1500)) : kDeadline + milliseconds(200);
  world_.context().queue.after(retry_delay, [this, &record, tries, early_retry] {
    const bool answered = record.end.has_value();
    // An early retry may also repeat an order that has already been answered.
    if (answered && !(early_retry && random_.chance(0.3))) return;
    SubmitRequest retry = record.request;
    retry.request_id = fmt::format("request-{}", next_request_++);
    sendAt(random_.uniform(0, world_.sidecarCount() - 1), std::move(retry), tries + 1);
  });
}

}  // namespace crankspur::sim
