/// @file Fuzz target for bundle documents. Parsing must return either a bundle or a list of problems.

#include "bundle/bundle.h"
#include "fuzz_input.h"

using namespace crankspur;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  std::vector<SettingsProblem> problems;
  const auto bundle = parseBundle(fuzz::asText(data, size), "bundle.toml", problems);
  fuzz::check((bundle == nullptr) == !problems.empty());
  if (!bundle) return 0;
  for (const TenantPolicy& tenant : bundle->tenants) {
    fuzz::check(bundle->findTenant(tenant.name) == &tenant);
  }
  return 0;
}
