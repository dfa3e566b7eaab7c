#pragma once
/// @file The control thread's view of all back ends, merged from the machine list, poll responses, gossip and
/// the outcomes of traffic. Decision logic only, without I/O.

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/random.h"
#include "internal_protocol/messages.h"
#include "machine_list/machine_types.h"
#include "placement/engine_view.h"
#include "placement/slot_pool.h"
#include "router/engine_health.h"
#include "router/info_polls.h"

namespace crankspur {

/// An engine's or runner's response to an info poll.
struct BackendReport {
  std::uint64_t incarnation = 0;
  bool leaving = false;
  EngineRole role = EngineRole::Mixed;
  std::vector<LoadedModel> models;
  std::uint32_t batch_limit = 0;
  std::uint32_t cache_blocks_total = 0;
};

/// Outcome of one dispatch, as reported by a traffic shard.
struct EngineOutcome {
  EngineSlot slot = 0;
  std::uint64_t incarnation = 0;
  OutcomeKind kind = OutcomeKind::Answered;
  Duration lateness{0};  ///< Time of the first token beyond its estimate.
};

/// A poll to send to a back end now.
struct BackendPoll {
  enum class Kind { EngineInfo, EngineLoad, RunnerInfo } kind = Kind::EngineInfo;
  std::string name;
  std::string address;
};

/// @return the name of the state in logs and status output: "live", "leaving", "ejected" or "dead".
const char* engineStateName(EngineState state);

/// A state change of a back end, for the log.
struct BackendChange {
  std::string name;
  EngineState previous = EngineState::Dead;
  EngineState state = EngineState::Dead;
  std::uint64_t incarnation = 0;
};

/// Parameters of the table. The rates bound the cost of polling, however many back ends there are.
struct EngineTableOptions {
  std::string own_region;
  Duration load_interval = std::chrono::milliseconds(200);
  Duration info_interval = std::chrono::seconds(1);
  double load_polls_per_second = 25;  ///< Over all engines; the interval grows to keep the rate.
  double info_polls_per_second = 8;   ///< Over all engines and runners; owned ones take precedence.
};

/// State of all back ends known to a router. Not thread-safe.
class EngineTable {
public:
  EngineTable(EngineTableOptions options, std::uint64_t random_seed);

  /// Applies the machine list; routers and KV stores in it are ignored. A back end that is missing from two
  /// consecutive lists is considered leaving, and is removed once it is dead.
  void onMachineList(const MachineList& list, TimePoint now);
  /// Applies a peer's list of back ends, unless a machine list was received since the start.
  void onPeerBackends(const std::vector<BackendRecord>& backends, TimePoint now);
  /// @return the back ends to send to a peer that has no machine list.
  std::vector<BackendRecord> backends() const;
  /// A back end responded to an info poll.
  void onReport(const std::string& name, const BackendReport& report, TimePoint now);
  /// An engine responded to a load poll. An unknown incarnation causes an immediate info poll.
  void onLoad(const std::string& name, std::uint64_t incarnation, const LoadReport& load, TimePoint now);
  /// A peer reported an engine's load. Ignored for engines that are not polled by peers and for unknown
  /// incarnations; the latter cause an immediate info poll.
  void onPeerEngineLoad(const std::string& name, std::uint64_t incarnation, const LoadReport& load,
                        TimePoint now);
  /// A poll failed.
  void onPollFailed(const std::string& name, PollFailure failure, TimePoint now);
  /// A peer's record of an engine, received by gossip.
  void onGossip(const EngineRecord& record, TimePoint now);
  /// Outcome of a dispatch.
  void onOutcome(const EngineOutcome& outcome, TimePoint now);
  /// Sets the load poll interval from the bundle.
  void setLoadInterval(Duration interval) { options_.load_interval = interval; }
  /// Sets the names of the engines whose load another router polls and sends.
  void setPolledByPeers(std::set<std::string> names) { polled_by_peers_ = std::move(names); }

  /// Sets the live routers of this router's region. Each back end of the region is owned by one of them,
  /// which sends its info polls. Before the first call this router owns all back ends.
  /// @param self name of this router; `routers` need not contain it.
  void setRouters(const std::string& self, std::vector<std::string> routers, TimePoint now);

  /// @return the polls that are due. Each is outstanding until its response or failure is reported.
  std::vector<BackendPoll> duePolls(TimePoint now);
  /// @return when duePolls() or a state may next change.
  TimePoint nextTimer(TimePoint now) const;

  /// @return the engines of this router's region, and those of other regions for pools that this region
  /// cannot serve; sorted by slot.
  std::vector<EngineView> engines(TimePoint now) const;
  /// @return the engines of all regions, sorted by name; for fleet orders.
  std::vector<EngineView> allEngines(TimePoint now) const;
  /// @return the application runners of all regions, sorted by name.
  std::vector<EngineView> runners(TimePoint now) const;
  /// @return the name of the back end in a slot, or an empty string.
  std::string nameOf(EngineSlot slot) const;
  /// @return whether states, incarnations, roles or models changed since the last call, so that a snapshot
  /// must be published at once.
  bool takeUrgentChange(TimePoint now);
  /// @return whether loads changed since the last call.
  bool takeLoadsChanged();
  /// @return the records to send to peers since the last call.
  std::vector<EngineRecord> takeAnnouncements();
  /// @return the announcements since the last call that must be sent to peers at once: a back end reported to
  /// its owner, and possibly to no other router, that it is leaving.
  std::vector<EngineRecord> takeUrgentAnnouncements();
  /// @return the state changes since the last call, for the log.
  std::vector<BackendChange> takeChanges();

private:
  struct Entry {
    EngineView view;
    bool runner = false;
    bool listed_leaving = false;
    bool reported_leaving = false;          ///< Reported by the back end or by gossip of its incarnation.
    std::uint64_t leaving_incarnation = 0;  ///< Reported as leaving before it was observed here; 0: none.
    std::uint64_t listed_at_ms = 0;     ///< Timestamp of the first own list with the present listed_leaving.
    bool peer_list_leaving = false;     ///< The machine is leaving in a peer's list.
    std::uint64_t peer_list_at_ms = 0;  ///< Timestamp of that list.

    /// @return whether any source marks the back end as leaving; absence from the machine list is not
    /// considered.
    bool markedLeaving() const { return listed_leaving || reported_leaving || peer_list_leaving; }
    std::uint32_t missing_from_lists = 0;  ///< Consecutive.
    EngineHealth health;
    EngineState last_state = EngineState::Dead;
    TimePoint next_info_at{};
    TimePoint next_load_at{};
    bool info_running = false;
    bool load_running = false;
    std::optional<bool> owned;     ///< Whether this router is the owner; reset when the routers change.
    bool load_poll_early = false;  ///< Poll the load before next_load_at if the owner's digests cease.
  };

  void updateLoad(Entry& entry, std::uint64_t incarnation, const LoadReport& load, TimePoint now);
  void updateMachine(const Machine& machine, std::uint64_t as_of_ms, TimePoint now);
  void onMachineGossip(Entry& entry, const EngineRecord& record);
  void removeUnlisted(const std::set<std::string>& listed, TimePoint now);
  void updateIncarnation(Entry& entry, std::uint64_t incarnation, TimePoint now);
  void announce(const Entry& entry, bool dead);
  void announceMachine(const Entry& entry);
  static EngineRecord recordOf(const Entry& entry, bool dead);
  void ejectIfSlow(Entry& entry, TimePoint now);
  bool polledByPeer(const Entry& entry, TimePoint now) const;
  bool wantsLoad(const Entry& entry, TimePoint now) const;
  EngineState stateOf(const Entry& entry, TimePoint now) const;
  EngineView viewOf(const Entry& entry, TimePoint now) const;
  Entry* find(const std::string& name);
  Entry* findSlot(EngineSlot slot);
  std::set<std::string> servedPools(TimePoint now) const;
  bool inLocalRegion(const Entry& entry) const { return entry.view.region == options_.own_region; }

  // Polls (engine_table_polls.cc).
  /// Determines the owner of each back end and updates the counts by class.
  void updateInfoCounts();
  InfoPollClass pollClass(const Entry& entry) const;
  Duration infoInterval(const Entry& entry) const;
  Duration loadInterval(std::size_t polled);
  Duration jittered(Duration mean);

  EngineTableOptions options_;
  RandomSource random_;
  std::map<std::string, Entry> entries_;
  std::set<std::string> polled_by_peers_;
  std::string self_;
  std::vector<std::string> routers_;
  InfoPollCounts info_counts_;
  SlotPool slots_;
  bool list_received_ = false;
  std::uint64_t last_list_ms_ = 0;  ///< Timestamp of the newest own machine list.
  bool urgent_ = false;
  bool loads_changed_ = false;
  std::vector<EngineRecord> announcements_;
  std::vector<EngineRecord> urgent_announcements_;
  std::vector<BackendChange> changes_;
};

}  // namespace crankspur
