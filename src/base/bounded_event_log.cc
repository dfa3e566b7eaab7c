#include "base/bounded_event_log.h"

#include <poll.h>
#include <pthread.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <csignal>
#include <utility>

namespace crankspur {
namespace {

/// A pipe that is writable takes so many bytes without blocking.
constexpr std::size_t kAtomicPipeBytes = 4096;
/// How long one look for a reader lasts.
constexpr int kPollMilliseconds = 100;
/// Parts of the queue, in quarters, up to which routine lines are all taken, sampled, and not taken.
constexpr std::size_t kAllRoutineQuarters = 2;
constexpr std::size_t kSampledRoutineQuarters = 3;
constexpr std::size_t kQuarters = 4;
/// While sampled, one routine line in so many is taken.
constexpr std::uint64_t kRoutineSample = 8;

/// A reader that is gone must not end the process.
void blockBrokenPipeSignal() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGPIPE);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

}  // namespace

LineImportance importanceOf(EventId event) {
  switch (event) {
    case EventId::GatewayRequestAdmitted:
    case EventId::GatewayRequestPlaced:
    case EventId::GatewayRequestWaiting:
    case EventId::GatewayRequestAnswered:
      return LineImportance::routine;
    default:
      return LineImportance::notable;
  }
}

BoundedEventLog::BoundedEventLog(BoundedLogSettings settings)
    : settings_(std::move(settings)), writer_([this] { run(); }) {}

BoundedEventLog::~BoundedEventLog() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
    stopping_since_ = clock_.now();
  }
  wake_.notify_one();
  writer_.join();
}

void BoundedEventLog::write(EventId event, const std::vector<LogField>& fields) {
  const EventDescription& description = describeEvent(event);
  if (description.level < settings_.minimum) return;
  std::string line =
      formatLogLine(settings_.format, currentLogTime(), settings_.process, description, fields) + "\n";
  const std::lock_guard lock(mutex_);
  enqueue(event, line);
  keepRecent(line);
}

void BoundedEventLog::enqueue(EventId event, const std::string& line) {
  const LineImportance importance = importanceOf(event);
  if (!hasRoom(importance, line.size())) {
    ++(importance == LineImportance::routine ? dropped_.routine : dropped_.notable);
    return;
  }
  ++accepted_;
  const bool was_empty = waiting_.empty();
  waiting_ += line;
  if (was_empty) wake_.notify_one();
}

bool BoundedEventLog::hasRoom(LineImportance importance, std::size_t bytes) const {
  const std::size_t filled = waiting_.size() + bytes;
  const auto within = [&](std::size_t quarters) {
    return filled <= settings_.queue_bytes / kQuarters * quarters;
  };
  if (importance == LineImportance::notable) return within(kQuarters);
  if (within(kAllRoutineQuarters)) return true;
  return within(kSampledRoutineQuarters) && (accepted_ + dropped_.routine) % kRoutineSample == 0;
}

void BoundedEventLog::keepRecent(const std::string& line) {
  recent_size_ += line.size();
  recent_.push_back(line);
  while (recent_size_ > settings_.recent_bytes) {
    recent_size_ -= recent_.front().size();
    recent_.pop_front();
  }
}

std::vector<std::string> BoundedEventLog::recentLines(std::string_view text) const {
  const std::lock_guard lock(mutex_);
  std::vector<std::string> found;
  std::copy_if(recent_.begin(), recent_.end(), std::back_inserter(found),
               [text](const std::string& line) { return line.find(text) != std::string::npos; });
  return found;
}

DroppedLines BoundedEventLog::dropped() const {
  const std::lock_guard lock(mutex_);
  return dropped_;
}

std::uint64_t BoundedEventLog::linesAccepted() const {
  const std::lock_guard lock(mutex_);
  return accepted_;
}

// The writing thread.

void BoundedEventLog::run() {
  blockBrokenPipeSignal();
  std::unique_lock lock(mutex_);
  while (true) {
    wake_.wait(lock, [this] { return stopping_ || !waiting_.empty(); });
    wake_.wait_for(lock, settings_.batching, [this] { return stopping_; });
    noteDropped();
    const std::string batch = std::exchange(waiting_, {});
    lock.unlock();
    const bool written = writeOut(batch);
    lock.lock();
    if (!written || (stopping_ && waiting_.empty())) return;
  }
}

/// Adds the line that counts what was dropped since the last such line.
void BoundedEventLog::noteDropped() {
  const std::uint64_t routine = dropped_.routine - dropped_told_.routine;
  const std::uint64_t notable = dropped_.notable - dropped_told_.notable;
  if (routine == 0 && notable == 0) return;
  dropped_told_ = dropped_;
  const std::vector<LogField> fields = {{"routine", routine}, {"notable", notable}};
  waiting_ += formatLogLine(settings_.format, currentLogTime(), settings_.process,
                            describeEvent(EventId::LogLinesDropped), fields) +
              "\n";
}

/// Waits for the reader before each write, so that only this thread ever waits.
/// @return false when the descriptor can be written no more, or the process ends and nobody reads.
bool BoundedEventLog::writeOut(std::string_view text) {
  while (!text.empty()) {
    pollfd poll_entry{settings_.descriptor, POLLOUT, 0};
    const int ready = ::poll(&poll_entry, 1, kPollMilliseconds);
    if (ready <= 0) {
      if (gaveUp(clock_.now())) return false;
      continue;
    }
    const ssize_t written =
        ::write(settings_.descriptor, text.data(), std::min(text.size(), kAtomicPipeBytes));
    if (written < 0 && errno != EINTR && errno != EAGAIN) return false;
    if (written > 0) text.remove_prefix(static_cast<std::size_t>(written));
  }
  return true;
}

bool BoundedEventLog::gaveUp(TimePoint now) const {
  const std::lock_guard lock(mutex_);
  return stopping_ && now - stopping_since_ >= settings_.last_flush;
}

}  // namespace crankspur
