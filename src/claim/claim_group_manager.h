#pragma once
/// @file Maintains the membership of a claim group: replaces failed members by an epoch change. Any number of
/// routers may do so concurrently; the compare-and-set of the group's row lets one succeed. Decision logic
/// only, without I/O.

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

/// Action: send a message to the router at `address`.
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
using ClaimManagerAction = std::variant<SendClaimMessage, ReadGroupRow, SwapGroupRow, PutClaimRow>;

/// A router that is eligible as a member.
struct ClaimGroupCandidate {
  std::string address;
  std::string zone;
};

/// Operator settings of the group.
struct ClaimGroupSettings {
  std::uint32_t size = 0;  ///< Number of members; 0: create no group. An existing group remains.
  Duration key_lifetime = std::chrono::hours(24);
};

/// One router's part in maintaining the group.
class ClaimGroupManager {
public:
  /// @param installer unique to this process across all processes and their restarts.
  explicit ClaimGroupManager(std::string installer) : installer_(std::move(installer)) {}

  void configure(const ClaimGroupSettings& settings) { settings_ = settings; }
  /// @param routers live routers that are not leaving.
  /// @param rank 0: acts first; 1: acts when rank 0 does not; empty: leaves the group to other routers.
  void setRouters(std::vector<ClaimGroupCandidate> routers, std::optional<std::uint32_t> rank);

  void onInfo(const ClaimGroupInfo& info, TimePoint now);
  void onSealed(const ClaimSealed& sealed);
  /// @param row the row as read, with epoch 0 when it is absent; nullopt when the table did not respond.
  void onRowRead(const std::optional<ClaimGroupRow>& row, TimePoint now);
  /// @param committed nullopt when the table did not respond.
  void onRowSwapped(std::optional<bool> committed);
  /// @param present the row after the call; nullopt when the table did not respond.
  void onClaimPut(const std::string& key, const std::optional<ClaimRow>& present);
  /// To be called about every 100 ms.
  void tick(TimePoint now);

  std::vector<ClaimManagerAction> takeActions();
  /// @return the row as last read from or written to the table.
  const ClaimGroupRow& row() const { return row_; }
  /// @return the number of epochs that this process began.
  std::uint64_t epochsBegun() const { return epochs_begun_; }
  bool changing() const { return change_.has_value(); }

private:
  struct ReceivedInfo {
    ClaimGroupInfo info;
    TimePoint received_at{};
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
  const ReceivedInfo* freshInfo(const std::string& address, TimePoint now) const;
  bool isHealthy(const ClaimGroupMember& member, TimePoint now) const;
  std::size_t countHealthy(const std::vector<ClaimGroupMember>& members, TimePoint now) const;
  void advance(TimePoint now);
  void sendSeals();
  void preparePuts();
  void sendPuts();
  void sendInstalls(TimePoint now);
  bool allHealthyMembersVote(TimePoint now) const;
  void send(const std::string& address, Message message) {
    actions_.emplace_back(SendClaimMessage{address, std::move(message)});
  }

  std::string installer_;
  ClaimGroupSettings settings_;
  std::vector<ClaimGroupCandidate> routers_;
  std::optional<std::uint32_t> rank_;
  std::map<std::string, ReceivedInfo> received_;  ///< By address.
  ClaimGroupRow row_;
  std::optional<TimePoint> row_read_at_;  ///< When the table last responded.
  bool reading_ = false;
  TimePoint read_sent_at_{};
  TimePoint next_round_{};
  std::optional<TimePoint> needed_since_;

  std::optional<ClaimEpochChange> change_;
  std::pair<EpochStep, std::size_t> progress_{};
  TimePoint progress_at_{};
  TimePoint next_send_{};
  std::set<std::string> sealed_;  ///< Addresses that responded to the seal.
  std::map<std::string, Put> puts_;
  bool puts_prepared_ = false;
  bool swapping_ = false;
  bool swap_unknown_ = false;
  bool routers_notified_ = false;
  std::uint64_t epochs_begun_ = 0;
  std::vector<ClaimManagerAction> actions_;
};

}  // namespace crankspur
