#pragma once
/// @file Facts about engines that spread by gossip.

#include <map>
#include <string>
#include <vector>

#include "internal_protocol/messages.h"

namespace crankspur {

/// The newest fact known of each engine. A higher incarnation replaces; at equal incarnation marks add up.
class EngineFacts {
public:
  /// @param maximum engines held; facts of further names are dropped.
  explicit EngineFacts(std::size_t maximum) : maximum_(maximum) {}
  /// @return whether the record says something new.
  bool apply(const EngineRecord& news);
  /// @return the fact, or nullptr.
  const EngineRecord* find(const std::string& name) const;
  /// @return every fact by name.
  const std::map<std::string, EngineRecord>& all() const { return facts_; }

private:
  std::size_t maximum_;
  std::map<std::string, EngineRecord> facts_;
};

}  // namespace crankspur
