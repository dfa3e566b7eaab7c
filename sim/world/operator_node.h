#pragma once
/// @file Simulated operator that rolls out bundles: stores the object, then updates the row by
/// compare-and-set. After a lost response it reads the row back to determine the outcome.

#include <functional>
#include <string>

#include "sim/world/bundle_maker.h"
#include "sim/world/context.h"
#include "sim/world/table_rows.h"

namespace crankspur::sim {

/// An operator on one machine.
class OperatorNode {
public:
  OperatorNode(Context& context, Host& host, const Site& site) : context_(context), host_(host), site_(site) {
    host_.start();
  }
  /// Rolls out the next version with `weights`; retries a bounded number of times until the roll is accepted
  /// or superseded by a concurrent one.
  void roll(const std::string& weights);

private:
  struct Roll {
    std::string weights;
    std::uint32_t tries = 0;
    std::uint64_t row_version = 0;
    BundleBody body;
    BundleRow row;
  };
  void readThenWrite(Roll roll);
  void putBundleObject(Roll roll);
  void writeBundleRow(Roll roll);
  void readBack(Roll roll);
  void retry(Roll roll);
  void reportOutcome(const Roll& roll, const char* outcome);

  Context& context_;
  Host& host_;
  const Site& site_;
};

}  // namespace crankspur::sim
