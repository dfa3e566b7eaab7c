#pragma once
/// @file Signed bundles for simulated sites.

#include <string>

#include "bundle/bundle.h"
#include "sim/world/site.h"

namespace crankspur::sim {

/// The model that every site serves.
inline constexpr const char* kModel = "language-model";

/// What differs from bundle to bundle.
struct BundleContent {
  std::uint64_t version = 1;
  std::string weights = "w1";
  std::string remark;  ///< Makes documents of racing operators differ.
};

/// @return the public keys that the site's processes trust.
TrustedKeys trustedKeys();
/// @return a bundle signed by author and approver.
BundleBody makeBundle(const Site& site, const BundleContent& content);

}  // namespace crankspur::sim
