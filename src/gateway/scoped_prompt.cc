#include "gateway/scoped_prompt.h"

#include <algorithm>

namespace crankspur::gateway {
namespace {

bool bySlot(const HeldPrefix& left, const HeldPrefix& right) {
  return left.engine < right.engine;
}

}  // namespace

std::uint32_t ScopedPrompt::heldBy(EngineSlot engine) const {
  const auto found = std::lower_bound(by_engine.begin(), by_engine.end(), HeldPrefix{engine, 0}, bySlot);
  return found == by_engine.end() || found->engine != engine ? 0 : found->tokens;
}

std::uint32_t ScopedPrompt::recomputedTokens(std::uint32_t cached) const {
  const std::uint32_t here = std::min(cached, shared_tokens);
  return std::max(held_shared_tokens, here) - here;
}

ScopedPrompt scopePrompt(const PartIndex& index, std::optional<std::uint64_t> weights,
                         const std::string& isolated_tenant, const std::string& model,
                         const std::vector<PromptPart>& prompt) {
  ScopedPrompt scoped;
  scoped.weights = weights;
  scoped.scope = cacheScope(weights ? std::to_string(*weights) : std::string(), isolated_tenant);
  scoped.parts = keyedParts(scoped.scope, model, prompt);
  scoped.matches = index.match(scoped.parts);
  scoped.by_engine = scoped.matches;
  std::sort(scoped.by_engine.begin(), scoped.by_engine.end(), bySlot);
  for (std::size_t part = 0; part + 1 < prompt.size(); ++part) scoped.shared_tokens += prompt[part].tokens;
  const std::uint32_t held = scoped.matches.empty() ? 0 : scoped.matches.front().tokens;
  scoped.held_shared_tokens = std::min(held, scoped.shared_tokens);
  return scoped;
}

}  // namespace crankspur::gateway
