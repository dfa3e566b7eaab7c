#pragma once
/// @file From where an engine takes cached parts of a prompt that it lacks.

#include <cstdint>
#include <string>

#include "gateway/backend_table.h"
#include "gateway/gateway_snapshot.h"
#include "gateway/scoped_prompt.h"

namespace crankspur::gateway {

/// What an engine imports before it reads the rest of a prompt.
struct Import {
  std::string from;          ///< "IP:port"; empty: nothing to import.
  std::uint32_t cached = 0;  ///< Tokens that the engine holds once it is done.
  double seconds = 0;
};

/// @return an import from the engine or store that answers, holds the longest prefix and gives it away
/// soonest, if that is longer than what the engine holds itself.
/// @param pool of the engine.
/// @param prompt_tokens of the whole prompt.
Import findImport(const EngineView& engine, const Pool& pool, std::uint32_t prompt_tokens,
                  const ScopedPrompt& prompt, const GatewaySnapshot& snapshot, const BackendTable& table,
                  TimePoint now);

/// @return the address of the store that is to keep the prompt's shared parts: one for each part, alike in
/// all gateways. Empty: no store answers, the parts are short or kept already.
std::string storeFor(const ScopedPrompt& prompt, const GatewaySnapshot& snapshot);

/// @return a number in [0, 1) for a key at an engine; the same in every gateway, since the engine's
/// incarnation is.
double affinity(std::uint64_t key, const EngineView& engine);

}  // namespace crankspur::gateway
