#pragma once
/// @file Seeded workloads with nested prefixes: a head shared by many requests (parts catalogue, park
/// policy), a middle shared by some (franchise rules, one family's history) and a tail unique to each
/// request.

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/random.h"
#include "bundle/bundle.h"

namespace crankspur::load {

/// Shape of a workload.
struct WorkloadOptions {
  std::uint64_t seed = 1;
  double tenant_skew = 1.0;           ///< Exponent of the Zipf distribution over tenants.
  double middle_skew = 0.8;           ///< Exponent of the Zipf distribution over middles.
  std::uint32_t head_tokens = 2000;   ///< Shared by all requests of a tenant to a model.
  std::uint32_t middles = 20;         ///< Number of middles per tenant and model.
  std::uint32_t middle_tokens = 600;  ///< Shared by the requests with this middle.
  std::uint32_t tail_tokens = 40;     ///< Unique to the request.
  std::uint32_t answer_tokens = 32;   ///< The max_tokens of each request.
};

/// One request to send.
struct PlannedRequest {
  std::string tenant;
  std::string api_key;
  std::string model;
  std::string weights_version;
  std::string adapter;
  std::string head;    ///< First message, role system.
  std::string middle;  ///< Second message, role system.
  std::string tail;    ///< Third message, role user.
  std::uint32_t max_tokens = 0;

  /// @return the body of a streaming chat completions request.
  std::string chatBody() const;
  /// @return the canonical prompt that the engine receives.
  std::string prompt() const;
};

/// Samples indexes below `count` from a Zipf distribution.
class ZipfSampler {
public:
  ZipfSampler(std::size_t count, double exponent);
  std::size_t sample(RandomSource& random) const;

private:
  std::vector<double> cumulative_;
};

/// Generates requests; the same seed gives the same requests.
class Workload {
public:
  /// @param bundle its tenants are in descending order of request rate; must outlive this object.
  /// @param key_prefix the API key of a tenant is this prefix followed by its name.
  Workload(const Bundle& bundle, std::string key_prefix, WorkloadOptions options);
  PlannedRequest next();

private:
  const std::string& sharedText(const std::string& name, std::uint32_t tokens);

  const Bundle& bundle_;
  std::string key_prefix_;
  WorkloadOptions options_;
  RandomSource random_;
  ZipfSampler tenants_;
  ZipfSampler middles_;
  std::uint64_t sequence_ = 0;
  std::map<std::string, std::string> texts_;  ///< Shared texts by scope, such as "tenant/model".
};

/// @return a text of about `tokens` tokens that depends only on the arguments.
std::string generateText(std::uint64_t seed, std::uint32_t tokens);

}  // namespace crankspur::load
