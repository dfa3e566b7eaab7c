#pragma once
/// @file Trace of a run: a hash over all lines and, on request, the lines themselves.

#include <fmt/format.h>

#include <cstdint>
#include <string>
#include <vector>

#include "base/hash.h"
#include "sim/kernel/event_queue.h"

namespace crankspur::sim {

/// Records the events of a run. Two runs of one seed must have the same hash.
class Trace {
public:
  /// @param keep_lines whether lines are kept for reading; the hash covers them in either case.
  Trace(const EventQueue& queue, bool keep_lines) : queue_(queue), keep_lines_(keep_lines) {}

  /// Adds one line, prefixed with the virtual time in seconds and `source`.
  template <typename... Values>
  void note(const std::string& source, fmt::format_string<Values...> format, Values&&... values) {
    buffer_.clear();
    const double seconds = toSeconds(queue_.now().time_since_epoch()) - kStartSeconds;
    fmt::format_to(std::back_inserter(buffer_), "{:10.6f} {:<16} ", seconds, source);
    fmt::format_to(std::back_inserter(buffer_), format, std::forward<Values>(values)...);
    const std::string_view line(buffer_.data(), buffer_.size());
    hash_ = hashBytes(line, hash_);
    if (keep_lines_) lines_.emplace_back(line);
  }

  std::uint64_t hash() const { return hash_; }
  const std::vector<std::string>& lines() const { return lines_; }

private:
  /// The queue's time starts at one hour; times in the trace are relative to it.
  static constexpr double kStartSeconds = 3600.0;

  const EventQueue& queue_;
  bool keep_lines_;
  fmt::memory_buffer buffer_;
  std::uint64_t hash_ = 0;
  std::vector<std::string> lines_;
};

}  // namespace crankspur::sim
