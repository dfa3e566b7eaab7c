#include "operator/bundle_diff.h"

#include <fmt/format.h>

#include <map>

namespace crankspur {

namespace {

/// A field of an entry, formatted as text.
struct FieldText {
  std::string name;
  std::string value;
};

/// An entry of a bundle, formatted as text.
struct EntryText {
  std::vector<FieldText> fields;
};

/// Entries, keyed by kind and name, for example "tenant harbour".
using BundleText = std::map<std::string, EntryText>;

std::string formatList(const std::vector<std::string>& values) {
  return fmt::format("[{}]", fmt::join(values, ", "));
}

std::string formatMilliseconds(Duration duration) {
  return fmt::format("{} ms", toMilliseconds(duration));
}

EntryText describe(const TenantPolicy& tenant) {
  return {{{"api_key_sha256", formatList(tenant.api_key_sha256)},
           {"weight", fmt::to_string(tenant.weight)},
           {"default_priority", fmt::to_string(tenant.default_priority)},
           {"tokens_per_second", fmt::to_string(tenant.tokens_per_second)},
           {"max_in_flight", fmt::to_string(tenant.max_in_flight)},
           {"retry_budget", fmt::to_string(tenant.retry_budget)},
           {"models", formatList(tenant.models)},
           {"operations", formatList(tenant.operations)}}};
}

EntryText describe(const ModelPolicy& model) {
  return {{{"weights_version", model.weights_version},
           {"adapters", formatList(model.adapters)},
           {"pools", formatList(model.pools)},
           {"max_prompt_tokens", fmt::to_string(model.max_prompt_tokens)},
           {"max_answer_tokens", fmt::to_string(model.max_answer_tokens)}}};
}

EntryText describe(const OperationPolicy& operation) {
  return {{{"pools", formatList(operation.pools)},
           {"repeatable", fmt::to_string(operation.repeatable)},
           {"timeout", formatMilliseconds(operation.timeout)}}};
}

EntryText describe(const Knobs& knobs) {
  return {{{"decision_cached_token_value", fmt::to_string(knobs.decision_cached_token_value)},
           {"eviction_seconds_per_block", fmt::to_string(knobs.eviction_seconds_per_block)},
           {"first_token_target", formatMilliseconds(knobs.first_token_target)},
           {"random_candidates", fmt::to_string(knobs.random_candidates)},
           {"suspicion_timeout", formatMilliseconds(knobs.suspicion_timeout)},
           {"gossip_interval", formatMilliseconds(knobs.gossip_interval)},
           {"load_report_interval", formatMilliseconds(knobs.load_report_interval)},
           {"max_attempts", fmt::to_string(knobs.max_attempts)},
           {"parallel_weight_loads", fmt::to_string(knobs.parallel_weight_loads)},
           {"claim_lifetime", formatMilliseconds(knobs.claim_lifetime)},
           {"claim_group_size", fmt::to_string(knobs.claim_group_size)}}};
}

template <typename Entry>
void addEntries(BundleText& text, const char* kind, const std::vector<Entry>& entries) {
  for (const Entry& entry : entries) {
    text[fmt::format("{} {}", kind, entry.name)] = describe(entry);
  }
}

BundleText describe(const Bundle& bundle) {
  BundleText text;
  text["site"] = {{{"name", bundle.site}}};
  text["knobs"] = describe(bundle.knobs);
  addEntries(text, "tenant", bundle.tenants);
  addEntries(text, "model", bundle.models);
  addEntries(text, "operation", bundle.operations);
  return text;
}

/// Compares two entries of one kind, which have the same fields in the same order.
void diffFields(const std::string& entry, const EntryText& before, const EntryText& after,
                std::vector<std::string>& lines) {
  for (std::size_t index = 0; index < before.fields.size(); ++index) {
    const FieldText& old_field = before.fields[index];
    const FieldText& new_field = after.fields[index];
    if (old_field.value != new_field.value) {
      lines.push_back(
          fmt::format("~ {} {}: {} -> {}", entry, old_field.name, old_field.value, new_field.value));
    }
  }
}

}  // namespace

std::vector<std::string> diffBundles(const Bundle& before, const Bundle& after) {
  const BundleText old_text = describe(before);
  const BundleText new_text = describe(after);
  std::vector<std::string> lines;
  for (const auto& [entry, fields] : old_text) {
    const auto found = new_text.find(entry);
    if (found == new_text.end()) {
      lines.push_back("- " + entry);
    } else {
      diffFields(entry, fields, found->second, lines);
    }
  }
  for (const auto& [entry, fields] : new_text) {
    if (old_text.count(entry) == 0) {
      lines.push_back("+ " + entry);
    }
  }
  return lines;
}

}  // namespace crankspur
