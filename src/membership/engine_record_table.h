#pragma once
/// @file Engine records that are disseminated by gossip.

#include <deque>
#include <map>
#include <string>

#include "internal_protocol/messages.h"

namespace crankspur {

/// Records by engine and incarnation. Engines choose their incarnations freely, so none is newer than
/// another: a record is stored for each incarnation, and the flags of one incarnation accumulate.
class EngineRecordTable {
public:
  /// @param max_engines limit on the number of engines; records of further engines are dropped.
  explicit EngineRecordTable(std::size_t max_engines) : max_engines_(max_engines) {}
  /// @return the key under which the record is stored.
  static std::string keyOf(const EngineRecord& record);
  /// Applies a record. Beyond four incarnations of one engine the one received first is removed. A record of
  /// a whole machine is retained and replaced only by that of a newer machine list.
  /// @return whether the record changed the table.
  bool apply(const EngineRecord& update);
  /// @return the record, or nullptr.
  const EngineRecord* find(const std::string& key) const;
  /// @return all records by key.
  const std::map<std::string, EngineRecord>& all() const { return records_; }

private:
  std::size_t max_engines_;
  std::map<std::string, EngineRecord> records_;
  std::map<std::string, std::deque<std::string>> keys_by_engine_;
};

}  // namespace crankspur
