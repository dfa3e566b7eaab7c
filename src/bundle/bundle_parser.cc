/// @file Parser and validator of the bundle document.

#include <fmt/format.h>

#include <algorithm>
#include <limits>
#include <set>

#include "bundle/bundle.h"

namespace crankspur {

namespace {

constexpr Range<std::int64_t> kVersionRange{1, std::numeric_limits<std::int64_t>::max()};
constexpr Range<std::int64_t> kCountRange{0, std::numeric_limits<std::uint32_t>::max()};
constexpr Range<std::int64_t> kPriorityRange{0, 9};
constexpr Range<std::int64_t> kTokenLimitRange{1, 10'000'000};
constexpr Range<std::int64_t> kMillisecondsRange{1, std::int64_t{24} * 3600 * 1000};
constexpr Range<std::int64_t> kLifetimeSecondsRange{60, std::int64_t{30} * 24 * 3600};
constexpr Range<std::int64_t> kSmallCountRange{1, 64};
constexpr Range<std::int64_t> kClaimGroupSizeRange{0, 9};
/// Members of a claim group report the period for which they know all claims; longer periods do not fit into
/// a message.
constexpr Duration kMaxGroupClaimLifetime = std::chrono::hours(24 * 14);
constexpr Range<double> kWeightRange{0.001, 1000.0};
constexpr Range<double> kRetryBudgetRange{0.0, 10.0};
constexpr Range<double> kCachedValueRange{0.0, 1000.0};
constexpr Range<double> kEvictionRange{0.0, 1.0};
constexpr std::size_t kSha256Digits = 64;

bool isNameCharacter(char character) {
  const bool letter = (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z');
  const bool digit = character >= '0' && character <= '9';
  return letter || digit || character == '.' || character == '_' || character == '-';
}

/// Names are restricted because they become parts of table keys and log lines.
bool isName(const std::string& text) {
  return !text.empty() && text.size() <= kMaxBundleNameBytes &&
         std::all_of(text.begin(), text.end(), isNameCharacter);
}

bool isSha256(const std::string& text) {
  const auto is_digit = [](char character) {
    return (character >= '0' && character <= '9') || (character >= 'a' && character <= 'f');
  };
  return text.size() == kSha256Digits && std::all_of(text.begin(), text.end(), is_digit);
}

const std::string kNameRule =
    fmt::format("must be 1 to {} letters, digits, '.', '_' or '-'", kMaxBundleNameBytes);

std::string requireName(TomlTable& table, const std::string& key) {
  const bool present = table.has(key);
  std::string name = table.requireString(key);
  if (present && !isName(name)) {
    table.report(key, kNameRule);
  }
  return name;
}

std::vector<std::string> getNames(TomlTable& table, const std::string& key) {
  std::vector<std::string> names = table.getStrings(key);
  std::set<std::string> seen;
  for (const std::string& name : names) {
    if (!isName(name)) {
      table.report(key, fmt::format("'{}' {}", name, kNameRule));
    } else if (!seen.insert(name).second) {
      table.report(key, fmt::format("'{}' stands twice", name));
    }
  }
  return names;
}

std::vector<std::string> requireNames(TomlTable& table, const std::string& key) {
  std::vector<std::string> names = getNames(table, key);
  if (names.empty()) {
    table.report(key, "must name at least one");
  }
  return names;
}

std::uint32_t getCount(TomlTable& table, const std::string& key, std::uint32_t fallback,
                       Range<std::int64_t> range) {
  return static_cast<std::uint32_t>(table.getInteger(key, fallback, range));
}

Duration getMilliseconds(TomlTable& table, const std::string& key, Duration fallback) {
  const std::int64_t count = std::chrono::duration_cast<std::chrono::milliseconds>(fallback).count();
  return std::chrono::milliseconds(table.getInteger(key, count, kMillisecondsRange));
}

Duration getSeconds(TomlTable& table, const std::string& key, Duration fallback) {
  const std::int64_t count = std::chrono::duration_cast<std::chrono::seconds>(fallback).count();
  return std::chrono::seconds(table.getInteger(key, count, kLifetimeSecondsRange));
}

/// Converts one parsed document into a bundle; problems are reported to the tables.
class BundleParser {
public:
  explicit BundleParser(TomlTable& root) : root_(root) {}

  Bundle parse() {
    bundle_.version = static_cast<std::uint64_t>(root_.requireInteger("version", kVersionRange));
    bundle_.site = requireName(root_, "site");
    readModels();
    readOperations();
    readTenants();
    readKnobs();
    root_.reportUnknownKeys();
    return std::move(bundle_);
  }

private:
  void readModels() {
    for (const std::shared_ptr<TomlTable>& table : root_.getTables("models")) {
      ModelPolicy model;
      model.name = requireUniqueName(*table, model_names_);
      model.weights_version = requireName(*table, "weights_version");
      model.adapters = getNames(*table, "adapters");
      model.pools = requireNames(*table, "pools");
      model.max_prompt_tokens =
          getCount(*table, "max_prompt_tokens", model.max_prompt_tokens, kTokenLimitRange);
      model.max_answer_tokens =
          getCount(*table, "max_answer_tokens", model.max_answer_tokens, kTokenLimitRange);
      bundle_.models.push_back(std::move(model));
    }
  }

  void readOperations() {
    for (const std::shared_ptr<TomlTable>& table : root_.getTables("operations")) {
      OperationPolicy operation;
      operation.name = requireUniqueName(*table, operation_names_);
      operation.pools = requireNames(*table, "pools");
      operation.repeatable = table->getBool("repeatable", operation.repeatable);
      operation.timeout = getMilliseconds(*table, "timeout_ms", operation.timeout);
      bundle_.operations.push_back(std::move(operation));
    }
  }

  void readTenants() {
    const std::vector<std::shared_ptr<TomlTable>> tables = root_.getTables("tenants");
    if (tables.empty()) {
      root_.report("tenants", "must name at least one");
    }
    bundle_.tenants.reserve(tables.size());
    for (const std::shared_ptr<TomlTable>& table : tables) {
      bundle_.tenants.push_back(readTenant(*table));
    }
  }

  TenantPolicy readTenant(TomlTable& table) {
    TenantPolicy tenant;
    tenant.name = requireUniqueName(table, tenant_names_);
    tenant.api_key_sha256 = readApiKeys(table);
    tenant.weight = table.getNumber("weight", tenant.weight, kWeightRange);
    tenant.default_priority = getCount(table, "default_priority", tenant.default_priority, kPriorityRange);
    tenant.tokens_per_second = getCount(table, "tokens_per_second", 0, kCountRange);
    tenant.max_in_flight = getCount(table, "max_in_flight", 0, kCountRange);
    tenant.retry_budget = table.getNumber("retry_budget", tenant.retry_budget, kRetryBudgetRange);
    tenant.models = readReferences(table, "models", model_names_);
    tenant.operations = readReferences(table, "operations", operation_names_);
    if (tenant.models.empty() && tenant.operations.empty()) {
      table.report("models", "the tenant may use neither a model nor an operation");
    }
    return tenant;
  }

  std::vector<std::string> readApiKeys(TomlTable& table) {
    std::vector<std::string> keys = table.getStrings("api_key_sha256");
    if (keys.empty()) {
      table.report("api_key_sha256", "must name at least one");
    }
    for (const std::string& key : keys) {
      if (!isSha256(key)) {
        table.report("api_key_sha256", fmt::format("'{}' must be 64 lower-case hexadecimal digits", key));
      } else if (!api_keys_.insert(key).second) {
        table.report("api_key_sha256", fmt::format("'{}' stands twice in the bundle", key));
      }
    }
    return keys;
  }

  std::vector<std::string> readReferences(TomlTable& table, const std::string& key,
                                          const std::set<std::string>& known) {
    std::vector<std::string> names = getNames(table, key);
    for (const std::string& name : names) {
      if (known.count(name) == 0) {
        table.report(key, fmt::format("'{}' is not among the bundle's {}", name, key));
      }
    }
    return names;
  }

  std::string requireUniqueName(TomlTable& table, std::set<std::string>& names) {
    std::string name = requireName(table, "name");
    if (!name.empty() && !names.insert(name).second) {
      table.report("name", fmt::format("'{}' stands twice", name));
    }
    return name;
  }

  void readKnobs() {
    const std::shared_ptr<TomlTable> table = root_.getTable("knobs");
    Knobs& knobs = bundle_.knobs;
    knobs.decision_cached_token_value =
        table->getNumber("decision_cached_token_value", knobs.decision_cached_token_value, kCachedValueRange);
    knobs.eviction_seconds_per_block =
        table->getNumber("eviction_seconds_per_block", knobs.eviction_seconds_per_block, kEvictionRange);
    knobs.first_token_target = getMilliseconds(*table, "first_token_target_ms", knobs.first_token_target);
    knobs.random_candidates =
        getCount(*table, "random_candidates", knobs.random_candidates, kSmallCountRange);
    knobs.suspicion_timeout = getMilliseconds(*table, "suspicion_timeout_ms", knobs.suspicion_timeout);
    knobs.gossip_interval = getMilliseconds(*table, "gossip_interval_ms", knobs.gossip_interval);
    knobs.load_report_interval =
        getMilliseconds(*table, "load_report_interval_ms", knobs.load_report_interval);
    knobs.max_attempts = getCount(*table, "max_attempts", knobs.max_attempts, kSmallCountRange);
    knobs.parallel_weight_loads =
        getCount(*table, "parallel_weight_loads", knobs.parallel_weight_loads, kSmallCountRange);
    knobs.claim_lifetime = getSeconds(*table, "claim_lifetime_s", knobs.claim_lifetime);
    knobs.claim_group_size =
        getCount(*table, "claim_group_size", knobs.claim_group_size, kClaimGroupSizeRange);
    if (knobs.claim_group_size > 0 && knobs.claim_lifetime > kMaxGroupClaimLifetime) {
      table->report("claim_group_size", "needs a claim_lifetime_s of at most 1209600");
    }
  }

  TomlTable& root_;
  Bundle bundle_;
  std::set<std::string> tenant_names_;
  std::set<std::string> model_names_;
  std::set<std::string> operation_names_;
  std::set<std::string> api_keys_;
};

}  // namespace

std::shared_ptr<const Bundle> parseBundle(std::string_view document, const std::string& file,
                                          std::vector<SettingsProblem>& problems) {
  if (document.size() > kMaxBundleBytes) {
    problems.push_back({file, 0, 0, "", fmt::format("is larger than {} bytes", kMaxBundleBytes)});
    return nullptr;
  }
  const std::size_t problems_before = problems.size();
  const std::shared_ptr<TomlTable> root = parseToml(document, file, problems);
  if (root == nullptr) {
    return nullptr;
  }
  auto bundle = std::make_shared<Bundle>(BundleParser(*root).parse());
  if (problems.size() > problems_before) {
    return nullptr;
  }
  bundle->buildIndex();
  return bundle;
}

}  // namespace crankspur
