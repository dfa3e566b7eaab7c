#pragma once
/// @file The record of the builds of back ends in the platform's store: one row with the builds that serve
/// each pool. Gateways see which builds serve while they run, but a process that starts knows nothing of the
/// time before; when all of them were killed, a stream of a build that has left meanwhile would be continued
/// by another one. The row changes only when a build comes or goes. Pure decision code.

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/random.h"
#include "gateway/gateway_snapshot.h"
#include "gateway_control/platform_link.h"
#include "gateway_control/record_call.h"

namespace crankspur::gateway {

/// Reads the record at the start, with retries until the store responds, and keeps it up to date. Not
/// thread-safe.
class BuildRecord {
public:
  /// The row's name in the store.
  static constexpr char kName[] = "served_builds";

  /// @param now when the gateway started.
  BuildRecord(std::uint64_t random_seed, TimePoint now);

  /// The platform confirmed the list of back ends, whose changes until then were passed to onBackend().
  void onListContact(TimePoint as_of);
  /// The list of back ends, changed or not.
  /// @param peers other gateways, which write the same changes.
  void onListed(const std::vector<Backend>& backends, std::size_t peers, TimePoint now);
  /// The list has shown a back end, which may be gone already.
  void onBackend(const std::string& pool, const std::string& build, TimePoint now);
  /// @return the builds that the record names, or that were listed in the time for which clients resume
  /// streams.
  std::vector<ServedBuild> served(const StoredRecord& record, TimePoint now) const;
  /// @param record empty: the store did not respond.
  void onRead(const std::optional<StoredRecord>& record, TimePoint now);
  /// @param written false: the row has changed, or the outcome is unknown.
  void onWritten(bool written, TimePoint now);
  /// @return the call to make now.
  RecordCall nextCall(TimePoint now);
  /// @return when nextCall() has a call to make; TimePoint::max(): not before another event.
  TimePoint nextTimer() const;

  /// @return whether the record was read.
  bool isKnown() const { return known_; }
  /// @return whether the record was read, or could not be read in the time for which callers can wait.
  bool isReady(TimePoint now) const { return known_ || now >= ready_at_; }
  /// @return the builds that served before this process read the record. Each may have served until then.
  const std::vector<ServedBuild>& before() const { return before_; }

private:
  using PoolAndBuild = std::pair<std::uint64_t, std::uint64_t>;

  std::set<PoolAndBuild> content(TimePoint now) const;
  bool isStale(const PoolAndBuild& entry, TimePoint now) const;

  RandomSource random_;
  TimePoint ready_at_;
  TimePoint not_before_{};  ///< End of the delay after a failed call.
  /// When the row is read again to be updated; max: it need not be.
  TimePoint update_at_ = TimePoint::max();
  bool known_ = false;
  bool calling_ = false;
  bool awaits_list_ = false;    ///< The row was read, and a build is removed if the next list lacks it too.
  TimePoint list_as_of_{};      ///< Of the last list that the platform confirmed.
  TimePoint observed_since_{};  ///< All changes of the list since then were seen.
  TimePoint row_read_at_{};
  std::map<PoolAndBuild, TimePoint> listed_;          ///< When it was last listed.
  std::set<PoolAndBuild> recorded_;                   ///< Content of the row as last read or written.
  std::map<PoolAndBuild, TimePoint> recorded_since_;  ///< When it was first read in the row.
  std::vector<ServedBuild> before_;
  std::optional<std::uint64_t> version_to_replace_;  ///< Set between reading and writing.
};

}  // namespace crankspur::gateway
