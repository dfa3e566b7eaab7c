#pragma once
/// @file The bundle: one versioned, signed document by which operators configure the fleet.

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "internal_protocol/messages.h"
#include "settings/toml_reader.h"

namespace crankspur {

/// A tenant and its limits.
struct TenantPolicy {
  std::string name;
  std::vector<std::string> api_key_sha256;  ///< Lower-case hexadecimal SHA-256 of each valid API key.
  double weight = 1.0;                      ///< Share of contended engine time.
  std::uint32_t default_priority = 1;       ///< 0 is the most urgent.
  std::uint32_t tokens_per_second = 0;      ///< Prompt plus generated tokens across the fleet; 0: no limit.
  std::uint32_t max_in_flight = 0;          ///< Concurrent requests across the fleet; 0: no limit.
  double retry_budget = 0.1;                ///< Retries allowed per first attempt.
  std::vector<std::string> models;          ///< Models that the tenant may use.
  std::vector<std::string> operations;      ///< Application operations that the tenant may use.
};

/// A model or an application, and the pools of back ends that serve it.
struct ModelPolicy {
  std::string name;
  std::string weights_version;
  std::vector<std::string> adapters;
  std::vector<std::string> pools;  ///< Engine pools, by their names in the machine list.
  std::uint32_t max_prompt_tokens = 32768;
  std::uint32_t max_answer_tokens = 4096;
};

/// An operation of application runners.
struct OperationPolicy {
  std::string name;
  std::vector<std::string> pools;
  bool repeatable = false;
  Duration timeout = std::chrono::seconds(10);
};

/// Tuning parameters. docs/MEASUREMENTS.md names the run behind each default.
struct Knobs {
  /// Weight of saved prefill time relative to queue time in placement.
  double decision_cached_token_value = 1.0;
  /// Cost to other requests of each block that a placement newly stores.
  double eviction_seconds_per_block = 0.001;
  Duration first_token_target = std::chrono::milliseconds(330);
  std::uint32_t random_candidates = 2;  ///< Random candidate engines in addition to the prefix holders.
  Duration suspicion_timeout = std::chrono::seconds(3);
  Duration gossip_interval = std::chrono::milliseconds(500);
  Duration load_report_interval = std::chrono::milliseconds(200);
  std::uint32_t max_attempts = 3;
  std::uint32_t parallel_weight_loads = 3;  ///< Engines that may load weights concurrently.
  /// How long an idempotency key stays valid after its first use.
  Duration claim_lifetime = std::chrono::hours(24);
  /// Routers that decide on claims by majority; 0: no group is created.
  std::uint32_t claim_group_size = 0;
};

/// Size limits of a bundle document.
constexpr std::size_t kMaxBundleBytes = std::size_t{4} * 1024 * 1024;
constexpr std::size_t kMaxBundleNameBytes = 64;

/// Positions of a bundle's entries by name.
struct BundleIndex {
  using Positions = absl::flat_hash_map<std::string, std::size_t>;
  Positions tenants;
  Positions tenants_by_key;  ///< By the SHA-256 of an API key.
  Positions models;
  Positions operations;
};

/// A validated bundle. Immutable once built.
struct Bundle {
  std::uint64_t version = 0;
  std::string site;
  std::vector<TenantPolicy> tenants;
  std::vector<ModelPolicy> models;
  std::vector<OperationPolicy> operations;
  Knobs knobs;
  BundleIndex index;  ///< Built by parseBundle(); if empty, lookups scan the entries.

  /// Builds `index` from the entries.
  void buildIndex();
  /// @return the entry, or nullptr.
  const TenantPolicy* findTenant(std::string_view name) const;
  const ModelPolicy* findModel(std::string_view name) const;
  const OperationPolicy* findOperation(std::string_view name) const;
  /// @return the tenant that owns the API key, or nullptr.
  const TenantPolicy* findTenantByKey(std::string_view api_key) const;
};

/// Parses and validates a bundle document.
/// @return the bundle, or nullptr with every problem added to `problems`.
std::shared_ptr<const Bundle> parseBundle(std::string_view document, const std::string& file,
                                          std::vector<SettingsProblem>& problems);

/// Public keys (Ed25519, base64 of 32 bytes) whose owners may author or approve a bundle, read from each
/// process's settings file. Author and approver of a bundle must be different keys.
struct TrustedKeys {
  std::vector<std::string> authors;
  std::vector<std::string> approvers;
};

/// A verified bundle together with its signed body, which peers verify themselves.
struct SignedBundle {
  BundleBody body;
  std::shared_ptr<const Bundle> bundle;
};

/// Verifies both signatures over the document, parses it and checks that its version equals body.version.
/// @param error SignatureInvalid or InvalidRequest when nullptr is returned.
std::shared_ptr<const SignedBundle> verifyBundle(const BundleBody& body, const TrustedKeys& keys,
                                                 std::error_code& error);

/// The newest bundle that a process has accepted. Versions only increase, so a bundle is never rolled back to
/// an older version.
class BundleHolder {
public:
  explicit BundleHolder(TrustedKeys keys) : keys_(std::move(keys)) {}
  /// Accepts a body if it verifies and is newer than the current bundle.
  /// @return Ok, Stale (not newer), SignatureInvalid or InvalidRequest; nothing changes unless Ok.
  std::error_code offer(const BundleBody& body);
  /// @return the current bundle, or nullptr.
  std::shared_ptr<const SignedBundle> current() const { return current_; }
  /// @return the current version; 0: none.
  std::uint64_t version() const { return current_ ? current_->body.version : 0; }

private:
  TrustedKeys keys_;
  std::shared_ptr<const SignedBundle> current_;
};

}  // namespace crankspur
