#pragma once
/// @file Routers known to a sidecar, and which of them it should connect to. Decision logic only, without
/// I/O. Sources: seeds in the settings, Hello messages, gossip records sent by routers, and the machine list.

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/random.h"
#include "internal_protocol/messages.h"
#include "sidecar/router_selector.h"

namespace crankspur {

/// Limits and delays of a directory.
struct RouterDirectoryOptions {
  std::size_t own_zone_connections = 32;
  std::size_t other_zone_connections = 4;    ///< In the own region.
  std::size_t other_region_connections = 2;  ///< Used when the own region has no usable router.
  std::size_t max_routers = 4096;
  Duration initial_reconnect_delay = std::chrono::milliseconds(100);
  Duration max_reconnect_delay = std::chrono::seconds(5);
};

/// Directory of routers by address.
class RouterDirectory {
public:
  RouterDirectory(std::string own_name, std::string own_zone, std::string own_region,
                  std::uint64_t random_seed, RouterDirectoryOptions options = {});
  /// Adds an address from the settings. It is never removed.
  void addSeed(const std::string& address);
  /// Applies a record from gossip or from the machine list (incarnation 0: unknown).
  void applyRecord(const MemberRecord& record);
  /// The router at `address` sent its Hello.
  /// @return false if it is already connected under another address; this connection should be closed.
  bool onHello(const std::string& address, const Hello& hello);
  /// A connection to the address was closed or could not be established.
  void onClosed(const std::string& address, TimePoint now);
  /// @return addresses that should be connected now, including those already connected.
  std::vector<std::string> targetAddresses(TimePoint now) const;
  /// @return connected routers that accept new requests.
  std::vector<RouterCandidate> usableRouters() const;
  /// @return number of known routers, connected or not.
  std::size_t size() const { return entries_.size(); }

private:
  struct Entry {
    std::string address;
    std::string name;  ///< For seeds, empty until the first Hello.
    std::string zone;
    std::string region;
    std::uint64_t incarnation = 0;
    MemberState state = MemberState::Alive;
    bool seed = false;
    bool connected = false;
    bool alias = false;  ///< Another address reaches the same router.
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
