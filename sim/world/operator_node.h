#pragma once
/// @file An operator of the simulation who rolls bundles: object first, then a compare-and-set on the row; an
/// answer that was lost is resolved by reading back.

#include <functional>
#include <string>

#include "sim/world/bundle_maker.h"
#include "sim/world/context.h"
#include "sim/world/table_rows.h"

namespace crankspur::sim {

/// One operator at one machine.
class OperatorNode {
public:
  OperatorNode(Context& context, Host& host, const Site& site) : context_(context), host_(host), site_(site) {
    host_.start();
  }
  /// Rolls the next version with the weights; tries until told accepted or beaten, within a time limit.
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
  void store(Roll roll);
  void accept(Roll roll);
  void readBack(Roll roll);
  void tryAgain(Roll roll);
  void told(const Roll& roll, const char* outcome);

  Context& context_;
  Host& host_;
  const Site& site_;
};

}  // namespace crankspur::sim
