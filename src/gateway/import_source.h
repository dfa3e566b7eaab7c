#pragma once
/// @file Selects the source from which an engine imports cached prompt parts that it does not hold.

#include <cstdint>
#include <string>

#include "gateway/backend_table.h"
#include "gateway/gateway_snapshot.h"
#include "gateway/scoped_prompt.h"

namespace crankspur::gateway {

/// Import of cached parts before the prefill of the rest of a prompt.
struct Import {
  std::string from;          ///< "IP:port"; empty: nothing to import.
  std::uint32_t cached = 0;  ///< Tokens that the engine holds after the import.
  double seconds = 0;
};

/// @return an import from the responsive engine or store that holds the longest prefix, among equals the one
/// with the fastest transfer, if that prefix is longer than the one that the engine holds itself.
/// @param pool of the engine.
/// @param prompt_tokens of the complete prompt.
Import findImport(const EngineView& engine, const Pool& pool, std::uint32_t prompt_tokens,
                  const ScopedPrompt& prompt, const GatewaySnapshot& snapshot, const BackendTable& table,
                  TimePoint now);

/// @return the address of the store to which the prompt's shared parts are to be saved; all gateways select
/// the same store for a part. Empty: no store is live, the parts are short, or a store already holds them.
std::string selectStore(const ScopedPrompt& prompt, const GatewaySnapshot& snapshot);

/// @return a number in [0, 1) for a key at an engine. It is the same in all gateways, since it is a hash of
/// the key and the engine's incarnation.
double affinity(std::uint64_t key, const EngineView& engine);

}  // namespace crankspur::gateway
