#pragma once
/// @file Builds signed configuration bundles for simulated sites.

#include <string>

#include "bundle/bundle.h"
#include "sim/world/site.h"

namespace crankspur::sim {

/// Model served at every site.
inline constexpr const char* kModel = "language-model";

/// Fields that vary between bundles of one site.
struct BundleContent {
  std::uint64_t version = 1;
  std::string weights = "w1";
  std::string remark;  ///< Distinguishes the documents of concurrent operators.
};

/// @return the public keys trusted by the processes of every site.
TrustedKeys trustedKeys();
/// @return a bundle for `site` with author and approver signatures.
BundleBody makeBundle(const Site& site, const BundleContent& content);

}  // namespace crankspur::sim
