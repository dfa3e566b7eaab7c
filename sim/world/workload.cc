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
constexpr std::uint64_t kShortestAnswer = 8;
constexpr std::uint64_t kLongestAnswer = 96;
constexpr Duration kDeadline = seconds(10);
constexpr std::uint32_t kOrderTries = 3;
/// Share of callers that try an order again before its answer came.
constexpr double kImpatientShare = 0.3;
constexpr double kOrderShare = 0.7;
constexpr double kAdapterShare = 0.2;

}  // namespace

Workload::Workload(World& world, std::uint64_t seed) : world_(world), random_(seed) {}

void Workload::start() {
  ends_ = world_.context().queue.now() + world_.site().load;
  next();
}

void Workload::next() {
  const double mean = 1e6 / world_.site().requests_per_second;
  const auto wait = Duration(static_cast<std::int64_t>(random_.exponential(mean)));
  world_.context().queue.after(wait, [this] {
    if (world_.context().queue.now() >= ends_) return;
    send();
    next();
  });
}

void Workload::send() {
  const std::vector<std::string>& tenants = world_.site().tenants;
  // A few tenants are large.
  const auto index =
      static_cast<std::size_t>(random_.unit() * random_.unit() * static_cast<double>(tenants.size()));
  const bool operation = random_.chance(world_.site().operation_share);
  SubmitRequest request = operation ? makeOperation(tenants[index]) : makeCompletion(tenants[index]);
  request.request_id = fmt::format("request-{}", next_request_++);
  request.tenant = tenants[index];
  request.deadline = kDeadline;
  if (same_prompts_ && !operation) {
    SubmitRequest same = request;
    same.request_id = fmt::format("request-{}", next_request_++);
    same.tenant = tenants[(index + 1) % tenants.size()];
    sendAt(random_.uniform(0, world_.sidecarCount() - 1), std::move(same), 1);
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
  // The catalogue is the same text for all tenants, so that only the scope of an entry tells them apart.
  request.prompt = catalogue();
  if (random_.chance(0.7)) {
    for (std::size_t entry = 0; entry < kRuleEntries; ++entry) {
      request.prompt += fmt::format("rule {:03} of {}: discounts need the keel number.\n", entry, tenant);
    }
  }
  request.prompt += fmt::format("question {}: which part?", next_request_);
  request.max_tokens = static_cast<std::uint32_t>(random_.uniform(kShortestAnswer, kLongestAnswer));
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
  // A caller whose sidecar is down uses another.
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
  if (order && tries < kOrderTries) watchOrder(record, tries);
}

void Workload::watchOrder(const CallerRecord& record, std::uint32_t tries) {
  const bool impatient = random_.chance(kImpatientShare);
  const Duration patience =
      impatient ? milliseconds(random_.uniform(1, 1500)) : kDeadline + milliseconds(200);
  world_.context().queue.after(patience, [this, &record, tries, impatient] {
    const bool served = record.end.has_value();
    // A caller that got its answer may still repeat the order by accident.
    if (served && !(impatient && random_.chance(0.3))) return;
    SubmitRequest again = record.request;
    again.request_id = fmt::format("request-{}", next_request_++);
    sendAt(random_.uniform(0, world_.sidecarCount() - 1), std::move(again), tries + 1);
  });
}

}  // namespace crankspur::sim
