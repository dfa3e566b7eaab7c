#include "tools/load/workload.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <boost/json.hpp>
#include <cmath>
#include <utility>

#include "base/hash.h"
#include "caller/chat_request.h"
#include "prefix_index/block_hash.h"

namespace crankspur::load {

namespace {

constexpr std::array<const char*, 16> kWords = {"cleat ", "keel ",   "bolt ",  "pad ",   "hookup ", "rudder ",
                                                "rule ",  "fire ",   "leash ", "hull ",  "spar ",   "site ",
                                                "stock ", "review ", "late ",  "refund "};

std::vector<std::size_t> tenantsWithModels(const Bundle& bundle) {
  std::vector<std::size_t> indexes;
  for (std::size_t index = 0; index < bundle.tenants.size(); ++index) {
    if (!bundle.tenants[index].models.empty()) indexes.push_back(index);
  }
  return indexes;
}

boost::json::object message(const char* role, const std::string& content) {
  return {{"role", role}, {"content", content}};
}

}  // namespace

ZipfSampler::ZipfSampler(std::size_t count, double exponent) {
  double sum = 0;
  for (std::size_t rank = 1; rank <= std::max<std::size_t>(count, 1); ++rank) {
    sum += 1.0 / std::pow(static_cast<double>(rank), exponent);
    cumulative_.push_back(sum);
  }
}

std::size_t ZipfSampler::sample(RandomSource& random) const {
  const double point = random.unit() * cumulative_.back();
  const auto found = std::upper_bound(cumulative_.begin(), cumulative_.end(), point);
  return std::min(static_cast<std::size_t>(found - cumulative_.begin()), cumulative_.size() - 1);
}

std::string generateText(std::uint64_t seed, std::uint32_t tokens) {
  RandomSource random(seed);
  std::string text = fmt::format("{} ", toHex(seed));
  const std::size_t bytes = std::size_t{tokens} * kBytesPerToken;
  while (text.size() < bytes) text += kWords[random.uniform(0, kWords.size() - 1)];
  return text;
}

Workload::Workload(const Bundle& bundle, std::string key_prefix, WorkloadOptions options)
    : bundle_(bundle),
      key_prefix_(std::move(key_prefix)),
      options_(options),
      random_(options.seed),
      tenants_(tenantsWithModels(bundle).size(), options.tenant_skew),
      middles_(options.middles, options.middle_skew) {}

const std::string& Workload::sharedText(const std::string& name, std::uint32_t tokens) {
  std::string& text = texts_[name];
  if (text.empty()) text = generateText(hashBytes(name), tokens);
  return text;
}

PlannedRequest Workload::next() {
  const TenantPolicy& tenant = bundle_.tenants[tenantsWithModels(bundle_)[tenants_.sample(random_)]];
  const std::string& model_name = tenant.models[random_.uniform(0, tenant.models.size() - 1)];
  const ModelPolicy* model = bundle_.findModel(model_name);
  const std::string scope = tenant.name + "/" + model_name;
  PlannedRequest request;
  request.tenant = tenant.name;
  request.api_key = key_prefix_ + tenant.name;
  request.model = model_name;
  request.weights_version = model == nullptr ? "" : model->weights_version;
  request.head = sharedText(scope, options_.head_tokens);
  request.middle = sharedText(fmt::format("{}/{}", scope, middles_.sample(random_)), options_.middle_tokens);
  request.tail = generateText(combineHashes(options_.seed, ++sequence_), options_.tail_tokens);
  request.max_tokens = options_.answer_tokens;
  return request;
}

std::string PlannedRequest::chatBody() const {
  const std::string name = adapter.empty() ? model : model + ":" + adapter;
  const boost::json::array messages = {message("system", head), message("system", middle),
                                       message("user", tail)};
  return boost::json::serialize(boost::json::object{{"model", name},
                                                    {"messages", messages},
                                                    {"max_tokens", max_tokens},
                                                    {"stream", true},
                                                    {"stream_options", {{"include_usage", true}}}});
}

std::string PlannedRequest::prompt() const {
  std::string text =
      canonicalMessage("system", head) + canonicalMessage("system", middle) + canonicalMessage("user", tail);
  text += kAssistantTurn;
  return text;
}

}  // namespace crankspur::load
