#pragma once
/// @file Names whose records still have to ride on outgoing messages.

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace crankspur {

/// Gives out the names sent least often first, each a limited number of times.
class SpreadQueue {
public:
  /// Starts (or starts again) the spreading of a name.
  void add(const std::string& name) { sent_[name] = 0; }
  /// Stops the spreading of a name.
  void remove(const std::string& name) { sent_.erase(name); }
  /// @param count names wanted at most.
  /// @param limit number of messages that each name rides on.
  /// @return names, and counts each as sent once more.
  std::vector<std::string> take(std::size_t count, std::uint32_t limit);
  /// @return names still spreading.
  std::size_t size() const { return sent_.size(); }

private:
  std::map<std::string, std::uint32_t> sent_;
};

}  // namespace crankspur
