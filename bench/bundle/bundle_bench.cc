/// @file Costs and sizes of bundles at the design size of 3,200 tenants and 37 models.

#include <benchmark/benchmark.h>
#include <fmt/format.h>

#include "base/hash.h"
#include "bundle/bundle.h"
#include "bundle/bundle_delta.h"
#include "bundle/signing.h"

using namespace crankspur;

namespace {

constexpr int kTenants = 3200;
constexpr int kModels = 37;
constexpr int kOperations = 12;
constexpr int kVersionsPerDay = 1300;
constexpr double kSecondsPerDay = 24 * 3600;

/// Change of a bundle version against the version before it.
enum class Change { None, OneField, AddedTenant, TwentyTenants };

struct DocumentOptions {
  std::uint64_t version = 1;
  Change change = Change::None;
};

std::string modelEntry(int index) {
  return fmt::format(
      "[[models]]\nname = \"model-{0}\"\nweights_version = \"2028-{0:02}\"\nadapters = [\"a{0}\", \"b{0}\"]\n"
      "pools = [\"pool-{1}\"]\nmax_prompt_tokens = 32768\nmax_answer_tokens = 2048\n\n",
      index, index % 9);
}

std::string operationEntry(int index) {
  return fmt::format("[[operations]]\nname = \"operation-{}\"\npools = [\"orders\"]\nrepeatable = false\n\n",
                     index);
}

std::string tenantEntry(int index, int rate) {
  return fmt::format(
      "[[tenants]]\nname = \"tenant-{0:04}\"\napi_key_sha256 = [\"{1}\"]\nweight = 1.0\ndefault_priority = "
      "1\n"
      "tokens_per_second = {2}\nmax_in_flight = 24\nmodels = [\"model-{3}\", \"model-{4}\"]\n"
      "operations = [\"operation-{5}\"]\n\n",
      index, sha256Hex(fmt::format("key {}", index)), rate, index % kModels, (index + 5) % kModels,
      index % kOperations);
}

int changedTenantCount(Change change) {
  if (change == Change::OneField) {
    return 1;
  }
  return change == Change::TwentyTenants ? 20 : 0;
}

std::string makeDocument(const DocumentOptions& options) {
  std::string text = fmt::format("version = {}\nsite = \"large\"\n\n", options.version);
  for (int index = 0; index < kModels; ++index) {
    text += modelEntry(index);
  }
  for (int index = 0; index < kOperations; ++index) {
    text += operationEntry(index);
  }
  const int tenants = kTenants + (options.change == Change::AddedTenant ? 1 : 0);
  const int changed = changedTenantCount(options.change);
  for (int index = 0; index < tenants; ++index) {
    const bool is_changed = changed > 0 && index % (kTenants / changed) == kTenants / changed / 2;
    text += tenantEntry(index, is_changed ? 8000 : 12000);
  }
  return text;
}

/// @return the rate at which a node receives bytes if each version has this size.
double bytesPerSecond(std::size_t bytes) {
  return static_cast<double>(bytes) * kVersionsPerDay / kSecondsPerDay;
}

void makeDelta(benchmark::State& state) {
  const std::string before = makeDocument({1, Change::None});
  const std::string after = makeDocument({2, static_cast<Change>(state.range(0))});
  std::string delta;
  for (auto step : state) {
    delta = makeDocumentDelta(before, after).value();
  }
  state.counters["delta_bytes"] = static_cast<double>(delta.size());
  state.counters["document_bytes"] = static_cast<double>(after.size());
  state.counters["delta_bytes_per_s"] = bytesPerSecond(delta.size());
  state.counters["document_bytes_per_s"] = bytesPerSecond(after.size());
}
BENCHMARK(makeDelta)
    ->Arg(static_cast<int>(Change::OneField))
    ->Arg(static_cast<int>(Change::AddedTenant))
    ->Arg(static_cast<int>(Change::TwentyTenants))
    ->Unit(benchmark::kMillisecond);

void applyDelta(benchmark::State& state) {
  const std::string before = makeDocument({1, Change::None});
  const std::string delta = makeDocumentDelta(before, makeDocument({2, Change::TwentyTenants})).value();
  for (auto step : state) {
    benchmark::DoNotOptimize(applyDocumentDelta(before, delta));
  }
}
BENCHMARK(applyDelta)->Unit(benchmark::kMillisecond);

void verifyAndParse(benchmark::State& state) {
  const SigningKeyPair author = generateSigningKeyPair();
  const SigningKeyPair approver = generateSigningKeyPair();
  const std::string document = makeDocument({1, Change::None});
  const BundleBody body{1, document,
                        signBundle(author.private_key, SignatureRole::Author, 1, document).value(),
                        signBundle(approver.private_key, SignatureRole::Approver, 1, document).value()};
  const TrustedKeys keys{{author.public_key}, {approver.public_key}};
  for (auto step : state) {
    std::error_code error;
    const auto verified = verifyBundle(body, keys, error);
    if (verified == nullptr) {
      state.SkipWithError("the bundle does not verify");
      break;
    }
  }
}
BENCHMARK(verifyAndParse)->Unit(benchmark::kMillisecond);

void findTenantByKey(benchmark::State& state) {
  std::vector<SettingsProblem> problems;
  const auto bundle = parseBundle(makeDocument({1, Change::None}), "bundle", problems);
  for (auto step : state) {
    benchmark::DoNotOptimize(bundle->findTenantByKey("key 1600"));
  }
}
BENCHMARK(findTenantByKey);

}  // namespace
