#pragma once
/// @file What a sidecar knows of routers, and which of them it should be connected to. Pure decision code.
/// Sources: seeds of the settings, Hello messages, gossip records that routers send, the machine list.

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/random.h"
#include "internal_protocol/messages.h"
#include "sidecar/router_selector.h"

namespace crankspur {

/// Bounds of a directory.
struct RouterDirectoryOptions {
  std::size_t own_zone_connections = 32;
  std::size_t other_zone_connections = 4;    ///< In the own region.
  std::size_t other_region_connections = 2;  ///< Used when the own region has no router left.
  std::size_t maximum_routers = 4096;
  Duration first_reconnect = std::chrono::milliseconds(100);
  Duration longest_reconnect = std::chrono::seconds(5);
};

/// Directory of routers by address.
class RouterDirectory {
public:
  RouterDirectory(std::string own_name, std::string own_zone, std::string own_region,
                  std::uint64_t random_seed, RouterDirectoryOptions options = {});
  /// An address of the settings; it is tried for as long as the process lives.
  void addSeed(const std::string& address);
  /// A record of gossip or of the machine list (incarnation 0: unknown).
  void learn(const MemberRecord& record);
  /// The router at `address` introduced itself.
  /// @return false when it is already connected under another address, so that this connection should close.
  bool onHello(const std::string& address, const Hello& hello);
  /// A connection to the address ended or could not be made.
  void onClosed(const std::string& address, TimePoint now);
  /// @return addresses that should have a connection and may be tried now; open ones included.
  std::vector<std::string> wanted(TimePoint now) const;
  /// @return connected routers that may get new work.
  std::vector<RouterCandidate> usable() const;
  /// @return routers known, connected or not.
  std::size_t size() const { return entries_.size(); }

private:
  struct Entry {
    std::string address;
    std::string name;  ///< Empty until the first Hello of a seed.
    std::string zone;
    std::string region;
    std::uint64_t incarnation = 0;
    MemberState state = MemberState::Alive;
    bool seed = false;
    bool connected = false;
    bool alias = false;  ///< Another address leads to the same router.
    std::uint32_t failures = 0;
    TimePoint retry_at{};
  };
  Entry* findByName(const std::string& name);
  int distanceOf(const Entry& entry) const;

  std::string own_name_;
  std::string own_zone_;
  std::string own_region_;
  RandomSource random_;
  RouterDirectoryOptions options_;
  std::map<std::string, Entry> entries_;
};

}  // namespace crankspur
