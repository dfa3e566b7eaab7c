#pragma once
/// @file The control thread's view of all back ends, merged from the machine list, their own answers, gossip
/// and what traffic met. Pure decision code.

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

/// What an engine or runner says of itself.
struct BackendReport {
  std::uint64_t incarnation = 0;
  bool leaving = false;
  EngineRole role = EngineRole::Mixed;
  std::vector<LoadedModel> models;
  std::uint32_t batch_limit = 0;
  std::uint32_t cache_blocks_total = 0;
};

/// Outcome of one dispatch, reported by a traffic shard.
struct EngineOutcome {
  EngineSlot slot = 0;
  std::uint64_t incarnation = 0;
  OutcomeKind kind = OutcomeKind::Answered;
  Duration lateness{0};  ///< First token's time beyond the estimate.
};

/// A question to be put to a back end now.
struct BackendPoll {
  enum class Kind { EngineInfo, EngineLoad, RunnerInfo } kind = Kind::EngineInfo;
  std::string name;
  std::string address;
};

/// @return the state's name in logs and status: "live", "leaving", "ejected" or "dead".
const char* engineStateName(EngineState state);

/// A change of a back end's state, for the log.
struct BackendChange {
  std::string name;
  EngineState previous = EngineState::Dead;
  EngineState state = EngineState::Dead;
  std::uint64_t incarnation = 0;
};

/// Tunables of the table. Rates bound what polling costs, however many back ends there are.
struct EngineTableOptions {
  std::string own_region;
  Duration load_interval = std::chrono::milliseconds(200);
  Duration info_interval = std::chrono::seconds(1);
  double load_polls_per_second = 25;  ///< Over all engines; the interval stretches beyond this.
  double info_polls_per_second = 8;   ///< Over all engines and runners; the owned ones come first.
};

/// The table. Not thread-safe.
class EngineTable {
public:
  EngineTable(EngineTableOptions options, std::uint64_t random_seed);

  /// Takes the machine list; routers and KV stores in it are ignored. A name that two lists in a row leave
  /// out counts as leaving, and is dropped once it is dead.
  void onMachineList(const MachineList& list, TimePoint now);
  /// Takes what a peer knows of back ends, as long as no machine list has come since the start.
  void onPeerBackends(const std::vector<BackendRecord>& backends, TimePoint now);
  /// @return what this table would tell a peer that has no machine list.
  std::vector<BackendRecord> backends() const;
  /// A back end answered what it is.
  void onReport(const std::string& name, const BackendReport& report, TimePoint now);
  /// An engine answered its load. An unknown incarnation makes the table ask anew.
  void onLoad(const std::string& name, std::uint64_t incarnation, const LoadReport& load, TimePoint now);
  /// A peer told an engine's load; unknown engines and incarnations are ignored.
  void onToldLoad(const std::string& name, std::uint64_t incarnation, const LoadReport& load, TimePoint now);
  /// A poll failed.
  void onPollFailed(const std::string& name, PollFailure failure, TimePoint now);
  /// A peer's fact about an engine.
  void onGossip(const EngineRecord& record, TimePoint now);
  /// What traffic met.
  void onOutcome(const EngineOutcome& outcome, TimePoint now);
  /// Changes the tunable interval; comes from the bundle.
  void setLoadInterval(Duration interval) { options_.load_interval = interval; }
  /// Names the engines whose load another router polls and tells.
  void setPolledElsewhere(std::set<std::string> names) { polled_elsewhere_ = std::move(names); }

  /// Names the live routers of the own region, this one (`self`) perhaps among them: each back end of the
  /// region has one owner among them, who asks it what it is. Before the first call this router owns all.
  void setRouters(const std::string& self, std::vector<std::string> routers, TimePoint now);

  /// @return polls that are due; each counts as running until its answer or failure is told.
  std::vector<BackendPoll> duePolls(TimePoint now);
  /// @return when duePolls() or a state may change next.
  TimePoint nextTimer(TimePoint now) const;

  /// @return engines of the own region, and others for pools that the own region cannot serve; by slot.
  std::vector<EngineView> engines(TimePoint now) const;
  /// @return engines of every region, by name; for fleet orders.
  std::vector<EngineView> allEngines(TimePoint now) const;
  /// @return application runners.
  std::vector<EngineView> runners(TimePoint now) const;
  /// @return the engine's name in a slot, or an empty string.
  std::string nameOf(EngineSlot slot) const;
  /// @return whether states, incarnations, roles or models changed since the last call: publish at once.
  bool takeUrgent(TimePoint now);
  /// @return whether loads changed since the last call.
  bool takeLoadsChanged();
  /// @return facts that peers should hear, taken once.
  std::vector<EngineRecord> takeAnnouncements();
  /// @return those of the announcements that peers should hear at once, taken once: a back end that told its
  /// owner, and perhaps nobody else, that it leaves.
  std::vector<EngineRecord> takeUrgentAnnouncements();
  /// @return state changes since the last call, for the log.
  std::vector<BackendChange> takeChanges();

private:
  struct Entry {
    EngineView view;
    bool runner = false;
    bool listed_leaving = false;
    bool told_leaving = false;
    std::uint64_t leaving_incarnation = 0;  ///< Told as leaving before it was seen here; 0: none.
    std::uint64_t listed_at_ms = 0;  ///< Age mark of the first own list that shows listed_leaving as it is.
    bool machine_told_leaving = false;     ///< A peer's list shows the machine as leaving.
    std::uint64_t machine_told_at_ms = 0;  ///< Age mark of that list.

    /// @return whether any source says that the back end leaves, the list's silence apart.
    bool markedLeaving() const { return listed_leaving || told_leaving || machine_told_leaving; }
    std::uint32_t lists_without = 0;
    EngineHealth health;
    EngineState last_state = EngineState::Dead;
    TimePoint next_info_at{};
    TimePoint next_load_at{};
    bool info_running = false;
    bool load_running = false;
    std::optional<bool> owned;  ///< Whether this router is the owner; computed once for a set of routers.
    bool load_early = false;    ///< Asked directly before its time if the owner goes silent.
  };

  void takeLoad(Entry& entry, std::uint64_t incarnation, const LoadReport& load, TimePoint now);
  void listMachine(const Machine& machine, std::uint64_t as_of_ms, TimePoint now);
  void onMachineGossip(Entry& entry, const EngineRecord& record);
  void dropUnlisted(const std::set<std::string>& listed, TimePoint now);
  void takeIncarnation(Entry& entry, std::uint64_t incarnation, TimePoint now);
  void announce(const Entry& entry, bool dead);
  void announceMachine(const Entry& entry);
  static EngineRecord recordOf(const Entry& entry, bool dead);
  void ejectIfSlow(Entry& entry, TimePoint now);
  bool polledElsewhere(const Entry& entry, TimePoint now) const;
  bool wantsLoad(const Entry& entry, TimePoint now) const;
  EngineState stateOf(const Entry& entry, TimePoint now) const;
  EngineView viewOf(const Entry& entry, TimePoint now) const;
  Entry* find(const std::string& name);
  Entry* findSlot(EngineSlot slot);
  std::set<std::string> servedPools(TimePoint now) const;
  bool inOwnRegion(const Entry& entry) const { return entry.view.region == options_.own_region; }

  // Polls (engine_table_polls.cc).
  void countForInfoPolls();
  InfoPollClass pollClass(const Entry& entry) const;
  Duration infoInterval(const Entry& entry) const;
  Duration loadInterval(std::size_t polled);
  Duration jittered(Duration mean);

  EngineTableOptions options_;
  RandomSource random_;
  std::map<std::string, Entry> entries_;
  std::set<std::string> polled_elsewhere_;
  std::string self_;
  std::vector<std::string> routers_;
  InfoPollCounts info_counts_;
  SlotPool slots_;
  bool listed_once_ = false;
  std::uint64_t last_list_ms_ = 0;  ///< Age mark of the newest own machine list.
  bool urgent_ = false;
  bool loads_changed_ = false;
  std::vector<EngineRecord> announcements_;
  std::vector<EngineRecord> urgent_announcements_;
  std::vector<BackendChange> changes_;
};

}  // namespace crankspur
