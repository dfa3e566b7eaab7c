#pragma once
/// @file Queue of names whose records are piggybacked on outgoing messages.

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace crankspur {

/// Returns names in order of least transmissions, each a limited number of times.
class DisseminationQueue {
public:
  /// Starts or restarts the dissemination of a name.
  void add(const std::string& name) { sent_[name] = 0; }
  /// Stops the dissemination of a name.
  void remove(const std::string& name) { sent_.erase(name); }
  /// Selects names for one message and counts a transmission for each.
  /// @param count limit on the number of names.
  /// @param limit number of transmissions after which a name is removed.
  std::vector<std::string> take(std::size_t count, std::uint32_t limit);
  /// @return the number of names in the queue.
  std::size_t size() const { return sent_.size(); }

private:
  std::map<std::string, std::uint32_t> sent_;
};

}  // namespace crankspur
