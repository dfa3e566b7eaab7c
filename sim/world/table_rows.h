#pragma once
/// @file Encoding of the table rows that simulated processes store.

#include <string>

#include "claim/claim.h"
#include "lease/lease.h"
#include "sim/world/platform_node.h"

namespace crankspur::sim {

std::string encodeClaimRow(const ClaimRow& row);
ClaimRow decodeClaimRow(const TableRow& row);
std::string encodeClaimGroupRow(const ClaimGroupRow& row);
ClaimGroupRow decodeClaimGroupRow(const TableRow& row);
std::string encodeLeaseRow(const LeaseRow& row);
LeaseRow decodeLeaseRow(const TableRow& row);

/// Contents of the bundle row.
struct BundleRow {
  std::uint64_t version = 0;
  std::string digest;
};
inline constexpr const char* kBundleRowKey = "crankspur/bundle";
inline constexpr const char* kOrderLeaseKey = "crankspur/lease/orders";

std::string encodeBundleRow(const BundleRow& row);
BundleRow decodeBundleRow(const TableRow& row);
/// @return the object key of the bundle in signed form.
std::string bundleObjectKey(const BundleRow& row);
std::string encodeBundleBody(const BundleBody& body);
BundleBody decodeBundleBody(const std::string& text);

}  // namespace crankspur::sim
