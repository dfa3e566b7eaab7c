/// @file Open-loop load generator for sidecars that checks every byte of every response.

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>
#include <fmt/format.h>

#include <cstdio>
#include <fstream>
#include <memory>
#include <string>
#include <vector>

#include "bundle/bundle.h"
#include "settings/toml_reader.h"
#include "tools/load/added_time.h"
#include "tools/load/load_run.h"
#include "tools/load/report.h"

ABSL_FLAG(std::vector<std::string>, sidecars, {}, "comma-separated IP:port of sidecars");
ABSL_FLAG(std::string, bundle, "", "the active bundle, with its tenants in descending order of request rate");
ABSL_FLAG(std::string, key_prefix, "demo-key-", "prefix of API keys; the tenant's name follows it");
ABSL_FLAG(double, rate, 20, "requests per second over all tenants");
ABSL_FLAG(double, duration_s, 10, "time in which requests are sent, in seconds");
ABSL_FLAG(std::uint32_t, threads, 2, "number of sending threads");
ABSL_FLAG(std::uint32_t, maximum_outstanding, 10'000,
          "limit of requests in flight; requests above it are not sent");
ABSL_FLAG(std::uint64_t, seed, 1, "seed of the workload");
ABSL_FLAG(double, tenant_skew, 1.0, "Zipf exponent over tenants");
ABSL_FLAG(double, middle_skew, 0.8, "Zipf exponent over middles (franchises, families)");
ABSL_FLAG(std::uint32_t, head_tokens, 2000, "tokens of the head shared by a tenant's requests to a model");
ABSL_FLAG(std::uint32_t, middles, 20, "middles for each tenant and model");
ABSL_FLAG(std::uint32_t, middle_tokens, 600, "tokens of a middle");
ABSL_FLAG(std::uint32_t, tail_tokens, 40, "tokens of the tail unique to a request");
ABSL_FLAG(std::uint32_t, answer_tokens, 32, "max_tokens of each request");
ABSL_FLAG(std::string, csv, "", "output file of the report as comma-separated values");
ABSL_FLAG(std::string, added_time, "",
          "IP:port of the only engine behind the sidecars: measures the latency that sidecar "
          "and router add, compared with requests sent straight to the engine");

namespace {

using namespace crankspur;
using namespace crankspur::load;

constexpr int kExitOk = 0;
constexpr int kExitBadResponses = 1;
constexpr int kExitUsage = 2;

int reportError(const std::string& reason) {
  fmt::print(stderr, "crankspur_load: {}\n", reason);
  return kExitUsage;
}

std::shared_ptr<const Bundle> readBundle(const std::string& path) {
  const std::optional<std::string> text = readFile(path);
  if (!text) {
    reportError("cannot read the bundle " + path);
    return nullptr;
  }
  std::vector<SettingsProblem> problems;
  auto bundle = parseBundle(*text, path, problems);
  for (const SettingsProblem& problem : problems) reportError(problem.toString());
  return bundle;
}

LoadRunOptions optionsFromFlags() {
  LoadRunOptions options;
  for (const std::string& address : absl::GetFlag(FLAGS_sidecars)) {
    options.targets.push_back({TargetKind::Sidecar, address});
  }
  options.requests_per_second = absl::GetFlag(FLAGS_rate);
  options.duration = Duration(static_cast<Duration::rep>(absl::GetFlag(FLAGS_duration_s) * 1e6));
  options.threads = absl::GetFlag(FLAGS_threads);
  options.max_outstanding = absl::GetFlag(FLAGS_maximum_outstanding);
  options.key_prefix = absl::GetFlag(FLAGS_key_prefix);
  options.workload.seed = absl::GetFlag(FLAGS_seed);
  options.workload.tenant_skew = absl::GetFlag(FLAGS_tenant_skew);
  options.workload.middle_skew = absl::GetFlag(FLAGS_middle_skew);
  options.workload.head_tokens = absl::GetFlag(FLAGS_head_tokens);
  options.workload.middles = absl::GetFlag(FLAGS_middles);
  options.workload.middle_tokens = absl::GetFlag(FLAGS_middle_tokens);
  options.workload.tail_tokens = absl::GetFlag(FLAGS_tail_tokens);
  options.workload.answer_tokens = absl::GetFlag(FLAGS_answer_tokens);
  return options;
}

/// @return the problem with the options, or an empty string.
std::string validateOptions(const LoadRunOptions& options) {
  if (options.targets.empty()) return "--sidecars is missing";
  if (options.requests_per_second <= 0 || options.duration <= Duration::zero()) {
    return "--rate and --duration_s must be above 0";
  }
  if (options.threads == 0 || options.threads > 64) return "--threads must be 1 to 64";
  return options.workload.middles == 0 ? "--middles must be above 0" : "";
}

int runAndReport(const Bundle& bundle, const LoadRunOptions& options) {
  const LoadRunResult result = runLoad(bundle, options);
  const std::vector<LoadSummary> summaries = summarize(result);
  fmt::print("{}", formatTextReport(result, summaries));
  if (const std::string path = absl::GetFlag(FLAGS_csv); !path.empty())
    std::ofstream(path) << formatCsvReport(summaries);
  const LoadSummary& all = summaries.front();
  return all.wrong + all.cut + all.no_answer == 0 && all.whole > 0 ? kExitOk : kExitBadResponses;
}

}  // namespace

int main(int argc, char** argv) {
  absl::FlagsUsageConfig usage;
  usage.version_string = [] { return std::string("crankspur_load ") + CRANKSPUR_VERSION + "\n"; };
  absl::SetFlagsUsageConfig(usage);
  absl::SetProgramUsageMessage(
      "Sends requests at a given rate, whether or not earlier ones have completed, and checks every byte of "
      "each "
      "response against the expected text of the engine stand-in.\n"
      "Exit status: 0 no wrong, cut or missing response; 1 otherwise; 2 invalid flags.");
  absl::ParseCommandLine(argc, argv);
  const std::shared_ptr<const Bundle> bundle = readBundle(absl::GetFlag(FLAGS_bundle));
  if (!bundle) return kExitUsage;
  const LoadRunOptions options = optionsFromFlags();
  const std::string reason = validateOptions(options);
  if (!reason.empty()) return reportError(reason);
  const std::string engine = absl::GetFlag(FLAGS_added_time);
  if (engine.empty()) return runAndReport(*bundle, options);
  const AddedTime added_time = measureAddedTime(*bundle, options, engine);
  fmt::print("{}", formatAddedTime(added_time));
  return added_time.incomplete_responses == 0 ? kExitOk : kExitBadResponses;
}
