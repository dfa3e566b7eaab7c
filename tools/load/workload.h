#pragma once
/// @file Seeded workloads of nested prefixes: a head that many requests share (parts catalogue, park policy),
/// a middle that some share (franchise rules, one family's history) and a tail of each request's own.

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
  std::uint32_t middles = 20;         ///< Middles for each tenant and model.
  std::uint32_t middle_tokens = 600;  ///< Shared by requests of one middle.
  std::uint32_t tail_tokens = 40;     ///< Of the request alone.
  std::uint32_t answer_tokens = 32;   ///< Asked for as max_tokens.
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

  /// @return the body of the chat-completions request, streamed.
  std::string chatBody() const;
  /// @return the canonical prompt that the engine gets.
  std::string prompt() const;
};

/// Draws an index below the number of weights by their shares.
class ZipfSampler {
public:
  ZipfSampler(std::size_t count, double exponent);
  std::size_t draw(RandomSource& random) const;

private:
  std::vector<double> cumulative_;
};

/// Generator of requests. The same seed gives the same requests.
class Workload {
public:
  /// @param bundle tenants in the order of their popularity, with the models they use.
  /// @param key_prefix the API key of a tenant is this and its name.
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
  std::map<std::string, std::string> texts_;  ///< By what the text stands for.
};

/// @return words of about `tokens` tokens, a function of the arguments alone.
std::string wordsOf(std::uint64_t seed, std::uint32_t tokens);

}  // namespace crankspur::load
