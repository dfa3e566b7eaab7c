#pragma once
/// @file Keeps a claim group in being: sees that members are replaced, and carries out the epoch change. Any
/// number of routers may do so at once; the compare-and-set of the group's row lets one win. Pure decision
/// code.

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "claim/claim.h"
#include "claim/claim_epoch_change.h"
#include "internal_protocol/messages.h"

namespace crankspur {

/// Action: send a message to the router at the address.
struct SendClaimMessage {
  std::string address;
  Message message;
};
/// Action: read the group's row.
struct ReadGroupRow {};
/// Action: write the group's row if it has the expected version (0: absent).
struct SwapGroupRow {
  ClaimGroupRow row;
  std::uint64_t expected_version = 0;
};
/// Action: write a claim row if it has the expected version (0: absent).
struct PutClaimRow {
  std::string key;
  ClaimRow row;
  std::uint64_t expected_version = 0;
};
using ClaimKeeperAction = std::variant<SendClaimMessage, ReadGroupRow, SwapGroupRow, PutClaimRow>;

/// A router that may be a member.
struct ClaimGroupCandidate {
  std::string address;
  std::string zone;
};

/// How the operators want the group.
struct ClaimGroupSettings {
  std::uint32_t size = 0;  ///< Members; 0: begin no group. A group that has begun stays.
  Duration key_lifetime = std::chrono::hours(24);
};

/// The part of one router in keeping the group.
class ClaimGroupKeeper {
public:
  /// @param installer unique to this process over all processes and their restarts.
  explicit ClaimGroupKeeper(std::string installer) : installer_(std::move(installer)) {}

  void configure(const ClaimGroupSettings& settings) { settings_ = settings; }
  /// @param routers live routers that are not leaving.
  /// @param rank 0: the first to act; 1: acts when the first does not; empty: leaves it to others.
  void setRouters(std::vector<ClaimGroupCandidate> routers, std::optional<std::uint32_t> rank);

  void onInfo(const ClaimGroupInfo& info, TimePoint now);
  void onSealed(const ClaimSealed& sealed);
  /// @param row what the table answered; epoch 0 when there is no row; nothing when no answer came.
  void onRowRead(const std::optional<ClaimGroupRow>& row, TimePoint now);
  /// @param committed nothing when no answer came.
  void onRowSwapped(std::optional<bool> committed);
  /// @param present the row as it stands after the call; nothing when no answer came.
  void onClaimPut(const std::string& key, const std::optional<ClaimRow>& present);
  /// To be called every 100 ms or so.
  void tick(TimePoint now);

  std::vector<ClaimKeeperAction> takeActions();
  /// @return the row as last read from or written to the table.
  const ClaimGroupRow& row() const { return row_; }
  /// @return epochs that this process began.
  std::uint64_t epochsBegun() const { return epochs_begun_; }
  bool changing() const { return change_.has_value(); }

private:
  struct Heard {
    ClaimGroupInfo info;
    TimePoint at{};
  };
  struct Put {
    ClaimVote vote;
    std::uint64_t expected_version = 0;
    bool outstanding = false;
  };

  void probe();
  void beginIfNeeded(TimePoint now);
  bool changeNeeded(const std::vector<ClaimGroupMember>& wanted, TimePoint now) const;
  std::vector<ClaimGroupMember> chooseMembers(TimePoint now) const;
  const Heard* fresh(const std::string& address, TimePoint now) const;
  bool isGood(const ClaimGroupMember& member, TimePoint now) const;
  std::size_t countGood(const std::vector<ClaimGroupMember>& members, TimePoint now) const;
  void advance(TimePoint now);
  void sendSeals();
  void preparePuts();
  void sendPuts();
  void sendInstalls(TimePoint now);
  bool everyGoodMemberVotes(TimePoint now) const;
  void send(const std::string& address, Message message) {
    actions_.emplace_back(SendClaimMessage{address, std::move(message)});
  }

  std::string installer_;
  ClaimGroupSettings settings_;
  std::vector<ClaimGroupCandidate> routers_;
  std::optional<std::uint32_t> rank_;
  std::map<std::string, Heard> heard_;  ///< By address.
  ClaimGroupRow row_;
  std::optional<TimePoint> row_read_at_;  ///< When the table last answered.
  bool reading_ = false;
  TimePoint read_sent_at_{};
  TimePoint next_round_{};
  std::optional<TimePoint> needed_since_;

  std::optional<ClaimEpochChange> change_;
  std::pair<EpochStep, std::size_t> progress_{};
  TimePoint progress_at_{};
  TimePoint next_send_{};
  std::set<std::string> sealed_;  ///< Addresses that answered to the seal.
  std::map<std::string, Put> puts_;
  bool puts_prepared_ = false;
  bool swapping_ = false;
  bool swap_unknown_ = false;
  bool told_routers_ = false;
  std::uint64_t epochs_begun_ = 0;
  std::vector<ClaimKeeperAction> actions_;
};

}  // namespace crankspur
