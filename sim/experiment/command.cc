#include "sim/experiment/command.h"

#include <absl/flags/flag.h>
#include <absl/strings/str_split.h>
#include <fmt/format.h>

#include <atomic>
#include <fstream>
#include <iostream>
#include <thread>

#include "sim/experiment/report.h"

ABSL_FLAG(std::string, site, "parts_desk", "experiment: parts_desk, tallow_creek or two_year");
ABSL_FLAG(std::vector<std::string>, policies,
          std::vector<std::string>({"cost", "clairvoyant", "clairvoyant_import", "previous", "prompt_head",
                                    "least_load", "round_robin"}),
          "experiment: policies to compare");
ABSL_FLAG(std::uint32_t, seeds, 20, "experiment: number of seeds");
ABSL_FLAG(std::uint64_t, first_seed, 1, "experiment: first seed");
ABSL_FLAG(std::string, faults, "none", "experiment: none, crash, shift, gaps or all");
ABSL_FLAG(double, load, 1.0, "experiment: multiplier of the site's request rate");
ABSL_FLAG(double, noisy, 1.0,
          "experiment: multiplier of one tenant's request rate; above 1, each seed also runs without it");
ABSL_FLAG(std::string, routing, "region_model",
          "experiment: how sidecars choose routers: zone_head, region_head or region_model");
ABSL_FLAG(std::uint32_t, length, 40, "experiment: length of a run in seconds");
ABSL_FLAG(std::uint32_t, threads, 4, "experiment: number of concurrent runs");
ABSL_FLAG(std::string, workload, "", "experiment: replay the requests in this file");
ABSL_FLAG(std::string, write_workload, "",
          "experiment: write the first seed's requests to this file and exit");
ABSL_FLAG(std::string, csv, "", "experiment: CSV output file with the measures of each run");
ABSL_FLAG(std::string, svg, "", "experiment: SVG output file of the plot");

namespace crankspur::experiment {
namespace {

constexpr int kUsageError = 2;

std::optional<FaultPlan> parseFaults(const std::string& name) {
  FaultPlan plan;
  if (name == "none") return plan;
  const bool all = name == "all";
  plan.crash = all || name == "crash";
  plan.shift = all || name == "shift";
  plan.gaps = all || name == "gaps";
  if (!plan.crash && !plan.shift && !plan.gaps) return std::nullopt;
  return plan;
}

std::optional<RouterChoice> parseRouting(const std::string& name) {
  if (name == "zone_head") return RouterChoice::ZoneHead;
  if (name == "region_head") return RouterChoice::RegionHead;
  if (name == "region_model") return RouterChoice::RegionModel;
  return std::nullopt;
}

bool isPolicy(const std::string& name) {
  static const std::vector<std::string> known = {
      "cost", "clairvoyant", "clairvoyant_import", "previous", "prompt_head", "least_load", "round_robin"};
  return std::find(known.begin(), known.end(), name) != known.end();
}

int reportUsageError(const std::string& message) {
  std::cerr << "crankspur_sim experiment: " << message << '\n';
  return kUsageError;
}

ResultRow runOne(const RunOptions& options) {
  ResultRow row;
  row.site = options.site.name;
  row.faults = absl::GetFlag(FLAGS_faults);
  row.policy = options.policy;
  row.seed = options.seed;
  row.load = options.load;
  row.measures = measure(options, run(options));
  if (options.noisy_factor <= 1) return row;
  RunOptions baseline = options;
  baseline.noisy_factor = 1;
  row.baseline_first_token_ms = measure(baseline, run(baseline)).tenant_first_token_ms;
  return row;
}

std::vector<ResultRow> runAll(const std::vector<RunOptions>& plan) {
  std::vector<ResultRow> rows(plan.size());
  std::atomic<std::size_t> next{0};
  const auto worker = [&] {
    for (std::size_t index = next++; index < plan.size(); index = next++) rows[index] = runOne(plan[index]);
  };
  std::vector<std::thread> threads;
  for (std::uint32_t count = 1; count < absl::GetFlag(FLAGS_threads); ++count) threads.emplace_back(worker);
  worker();
  for (std::thread& thread : threads) thread.join();
  return rows;
}

std::vector<RunOptions> makeRuns(const RunOptions& base) {
  std::vector<RunOptions> plan;
  for (const std::string& policy : absl::GetFlag(FLAGS_policies)) {
    for (std::uint32_t offset = 0; offset < absl::GetFlag(FLAGS_seeds); ++offset) {
      plan.push_back(base);
      plan.back().policy = policy;
      plan.back().seed = absl::GetFlag(FLAGS_first_seed) + offset;
    }
  }
  return plan;
}

int writeWorkloadFile(const RunOptions& options, const std::string& path) {
  WorkloadOptions workload;
  workload.seed = absl::GetFlag(FLAGS_first_seed);
  workload.length = options.length;
  workload.load = options.load;
  workload.noisy_factor = options.noisy_factor;
  if (options.faults.shift) workload.shift_at = shiftTime(options);
  std::ofstream file(path);
  writeWorkload(file, generateWorkload(options.site, workload));
  return file.good() ? 0 : reportUsageError("cannot write " + path);
}

}  // namespace

int runExperimentCommand(const std::vector<std::string>& arguments) {
  if (!arguments.empty()) return reportUsageError("unexpected argument " + arguments.front());
  const std::optional<Site> site = findSite(absl::GetFlag(FLAGS_site));
  if (!site) return reportUsageError("unknown site " + absl::GetFlag(FLAGS_site));
  const std::optional<FaultPlan> faults = parseFaults(absl::GetFlag(FLAGS_faults));
  if (!faults) return reportUsageError("unknown faults " + absl::GetFlag(FLAGS_faults));
  for (const std::string& policy : absl::GetFlag(FLAGS_policies)) {
    if (!isPolicy(policy)) return reportUsageError("unknown policy " + policy);
  }
  const std::optional<RouterChoice> routing = parseRouting(absl::GetFlag(FLAGS_routing));
  if (!routing) return reportUsageError("unknown routing " + absl::GetFlag(FLAGS_routing));
  RunOptions base;
  base.router_choice = *routing;
  base.site = *site;
  base.faults = *faults;
  base.load = absl::GetFlag(FLAGS_load);
  base.noisy_factor = absl::GetFlag(FLAGS_noisy);
  base.length = std::chrono::seconds(absl::GetFlag(FLAGS_length));
  if (base.length <= base.warm_up) return reportUsageError("the run must be longer than its warm-up");
  if (const std::string path = absl::GetFlag(FLAGS_write_workload); !path.empty()) {
    return writeWorkloadFile(base, path);
  }
  if (const std::string path = absl::GetFlag(FLAGS_workload); !path.empty()) {
    std::ifstream file(path);
    const auto workload = readWorkload(file);
    if (!workload || workload->empty()) return reportUsageError("cannot read requests from " + path);
    base.workload = *workload;
  }
  const std::vector<ResultRow> rows = runAll(makeRuns(base));
  const std::vector<PolicySummary> summaries = summarize(rows);
  const std::string title = fmt::format("{}, faults {}, load {}, noisy {}, {} seeds from {}", site->name,
                                        absl::GetFlag(FLAGS_faults), base.load, base.noisy_factor,
                                        absl::GetFlag(FLAGS_seeds), absl::GetFlag(FLAGS_first_seed));
  std::cout << title << '\n';
  writeTable(std::cout, summaries);
  if (const std::string path = absl::GetFlag(FLAGS_csv); !path.empty()) {
    std::ofstream file(path);
    writeCsv(file, rows);
  }
  if (const std::string path = absl::GetFlag(FLAGS_svg); !path.empty()) {
    std::ofstream file(path);
    writeSvg(file, title, summaries);
  }
  return 0;
}

}  // namespace crankspur::experiment
