#include "sim/experiment/workload.h"

#include <algorithm>
#include <cmath>
#include <sstream>

#include "base/hash.h"
#include "base/random.h"

namespace crankspur::experiment {
namespace {

/// Zipf distribution over 0..count-1: probabilities are proportional to 1 / (rank + 1)^exponent.
class ZipfDistribution {
public:
  ZipfDistribution(std::uint32_t count, double exponent) {
    double sum = 0;
    for (std::uint32_t rank = 0; rank < count; ++rank) {
      sum += 1.0 / std::pow(rank + 1.0, exponent);
      cumulative_.push_back(sum);
    }
  }
  std::uint32_t draw(RandomSource& random) const {
    const double point = random.unit() * cumulative_.back();
    const auto found = std::upper_bound(cumulative_.begin(), cumulative_.end(), point);
    return static_cast<std::uint32_t>(std::min<std::ptrdiff_t>(
        found - cumulative_.begin(), static_cast<std::ptrdiff_t>(cumulative_.size()) - 1));
  }
  double share(std::uint32_t rank) const {
    return (cumulative_[rank] - (rank == 0 ? 0 : cumulative_[rank - 1])) / cumulative_.back();
  }

private:
  std::vector<double> cumulative_;
};

/// Kinds of prompt text; hashed into the ID of a segment.
enum class TextKind : std::uint64_t { Catalogue = 1, Rules = 2, Question = 3 };

/// @return a segment whose length is derived from its ID, between 0.5 and 1.5 times the mean.
PromptSegment makeSegment(TextKind kind, std::uint64_t owner, std::uint64_t number,
                          std::uint32_t mean_tokens) {
  const std::uint64_t id = combineHashes(combineHashes(static_cast<std::uint64_t>(kind), owner), number);
  const double factor = 0.5 + static_cast<double>(id % 1024) / 1024.0;
  return {id, std::max<std::uint32_t>(1, static_cast<std::uint32_t>(mean_tokens * factor))};
}

class WorkloadGenerator {
public:
  WorkloadGenerator(const Site& site, const WorkloadOptions& options)
      : shape_(site.shape),
        options_(options),
        rate_(site.requests_per_second * options.load),
        tenants_(shape_.tenants, shape_.tenant_zipf),
        catalogues_(shape_.catalogues, shape_.catalogue_zipf),
        rules_(shape_.rules, shape_.rules_zipf),
        random_(options.seed) {}

  std::vector<Arrival> generate() {
    for (std::uint32_t tenant = 0; tenant < shape_.tenants; ++tenant) generateTenant(tenant);
    std::stable_sort(arrivals_.begin(), arrivals_.end(),
                     [](const Arrival& left, const Arrival& right) { return left.at < right.at; });
    return std::move(arrivals_);
  }

private:
  bool isShifted(std::uint32_t tenant, Duration at) const {
    return tenant == 0 && options_.shift_at && at >= *options_.shift_at;
  }

  void generateTenant(std::uint32_t tenant) {
    // The rate includes follow-ups, so the rate of initial requests is lower.
    const double first_share = 1.0 / (1.0 + (1 - shape_.short_chance) * shape_.follow_up_chance);
    double rate = rate_ * tenants_.share(tenant) * first_share;
    if (tenant == kNoisyTenant) rate *= options_.noisy_factor;
    // Each tenant has its own random source, so that its requests do not depend on those of other tenants.
    random_ = RandomSource(combineHashes(options_.seed, tenant));
    double seconds = 0;
    while (true) {
      const double factor = isShifted(tenant, Duration(static_cast<std::int64_t>(seconds * 1e6))) ? 2.0 : 1.0;
      seconds += random_.exponential(1.0 / (rate * factor));
      const Duration at(static_cast<std::int64_t>(seconds * 1e6));
      if (at >= options_.length) return;
      addRequest(tenant, at);
    }
  }

  void addRequest(std::uint32_t tenant, Duration at) {
    Arrival arrival;
    arrival.at = at;
    arrival.tenant = tenant;
    const std::uint64_t version = isShifted(tenant, at) ? 2 : 1;
    const std::uint64_t catalogue =
        combineHashes(std::uint64_t{tenant} * 16 + version, catalogues_.draw(random_));
    arrival.segments.push_back(makeSegment(TextKind::Catalogue, catalogue, 0, shape_.catalogue_tokens));
    const bool short_question = random_.chance(shape_.short_chance);
    if (!short_question) {
      arrival.segments.push_back(
          makeSegment(TextKind::Rules, catalogue, rules_.draw(random_), shape_.rules_tokens));
    }
    arrival.max_tokens = short_question ? shape_.short_answer_tokens : shape_.answer_tokens;
    addQuestion(arrival, short_question ? shape_.short_tokens : shape_.question_tokens);
    arrivals_.push_back(arrival);
    if (short_question) return;
    while (random_.chance(shape_.follow_up_chance / (1 + shape_.follow_up_chance))) {
      arrival.at += Duration(static_cast<std::int64_t>(
          random_.exponential(static_cast<double>(shape_.follow_up_delay.count()))));
      if (arrival.at >= options_.length) return;
      addQuestion(arrival, shape_.question_tokens);
      arrivals_.push_back(arrival);
    }
  }

  void addQuestion(Arrival& arrival, std::uint32_t mean_tokens) {
    arrival.segments.push_back(makeSegment(TextKind::Question, random_.bits(), 0, mean_tokens));
  }

  const WorkloadShape& shape_;
  const WorkloadOptions& options_;
  double rate_;
  ZipfDistribution tenants_;
  ZipfDistribution catalogues_;
  ZipfDistribution rules_;
  RandomSource random_;
  std::vector<Arrival> arrivals_;
};

void appendSegment(std::string& text, const PromptSegment& segment) {
  const std::size_t end = text.size() + segment.tokens * kBytesPerToken;
  std::uint64_t state = segment.id;
  while (text.size() < end) {
    state = state * 6364136223846793005ULL + 1442695040888963407ULL;
    const std::uint64_t word = (state >> 8) | 0x4040404040404040ULL;
    text.append(reinterpret_cast<const char*>(&word), std::min(sizeof(word), end - text.size()));
  }
}

bool parseSegment(const std::string& word, PromptSegment& segment) {
  char colon = 0;
  std::istringstream stream(word);
  return static_cast<bool>(stream >> segment.id >> colon >> segment.tokens) && colon == ':';
}

bool parseArrival(const std::string& line, Arrival& arrival) {
  std::istringstream stream(line);
  std::int64_t microseconds = 0;
  if (!(stream >> microseconds >> arrival.tenant >> arrival.max_tokens)) return false;
  arrival.at = Duration(microseconds);
  for (std::string word; stream >> word;) {
    PromptSegment segment;
    if (!parseSegment(word, segment)) return false;
    arrival.segments.push_back(segment);
  }
  return !arrival.segments.empty();
}

}  // namespace

std::vector<Arrival> generateWorkload(const Site& site, const WorkloadOptions& options) {
  return WorkloadGenerator(site, options).generate();
}

std::string promptText(const Arrival& arrival) {
  std::string text;
  for (const PromptSegment& segment : arrival.segments) appendSegment(text, segment);
  return text;
}

void writeWorkload(std::ostream& out, const std::vector<Arrival>& arrivals) {
  for (const Arrival& arrival : arrivals) {
    out << arrival.at.count() << ' ' << arrival.tenant << ' ' << arrival.max_tokens;
    for (const PromptSegment& segment : arrival.segments) out << ' ' << segment.id << ':' << segment.tokens;
    out << '\n';
  }
}

std::optional<std::vector<Arrival>> readWorkload(std::istream& in) {
  std::vector<Arrival> arrivals;
  for (std::string line; std::getline(in, line);) {
    if (line.empty()) continue;
    Arrival arrival;
    if (!parseArrival(line, arrival)) return std::nullopt;
    if (!arrivals.empty() && arrival.at < arrivals.back().at) return std::nullopt;
    arrivals.push_back(std::move(arrival));
  }
  return arrivals;
}

}  // namespace crankspur::experiment
