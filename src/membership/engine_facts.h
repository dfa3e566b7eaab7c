#pragma once
/// @file Facts about engines that spread by gossip.

#include <deque>
#include <map>
#include <string>

#include "internal_protocol/messages.h"

namespace crankspur {

/// Facts by engine and incarnation. Engines choose their incarnations freely, so that none counts as newer
/// than another: facts of each incarnation stand side by side, and marks of one incarnation add up.
class EngineFacts {
public:
  /// @param maximum engines held; facts of further names are dropped.
  explicit EngineFacts(std::size_t maximum) : maximum_(maximum) {}
  /// @return the key of the fact that the record speaks of.
  static std::string keyOf(const EngineRecord& record);
  /// Takes a record. Beyond four incarnations of one engine the one heard of first is forgotten; what is
  /// known of the whole machine stays, by the newest machine list.
  /// @return whether the record says something new.
  bool apply(const EngineRecord& news);
  /// @return the fact, or nullptr.
  const EngineRecord* find(const std::string& key) const;
  /// @return every fact by key.
  const std::map<std::string, EngineRecord>& all() const { return facts_; }

private:
  std::size_t maximum_;
  std::map<std::string, EngineRecord> facts_;
  std::map<std::string, std::deque<std::string>> keys_by_engine_;
};

}  // namespace crankspur
