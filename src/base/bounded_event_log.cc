#include "base/bounded_event_log.h"

#include <poll.h>
#include <pthread.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <csignal>
#include <thread>
#include <utility>

namespace crankspur {
namespace {

/// A writable pipe accepts this many bytes without blocking.
constexpr std::size_t kAtomicPipeBytes = 4096;
/// Timeout of one poll for writability.
constexpr int kPollMilliseconds = 100;
/// Maximum time for which a failing process waits for the lock. Other threads hold it for microseconds; the
/// thread that failed may hold it for good.
constexpr Duration kMaxLockTime = std::chrono::milliseconds(50);
/// Fill levels of the queue, in quarters: up to the first all routine lines are accepted, up to the second
/// they are sampled, beyond it they are dropped.
constexpr std::size_t kUnsampledRoutineQuarters = 2;
constexpr std::size_t kSampledRoutineQuarters = 3;
constexpr std::size_t kQuarters = 4;
/// While sampling, one in this many routine lines is accepted.
constexpr std::uint64_t kRoutineSampleInterval = 8;

/// A closed pipe must not terminate the process.
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
  addRecent(line);
}

void BoundedEventLog::enqueue(EventId event, const std::string& line) {
  const LineImportance importance = importanceOf(event);
  if (!hasCapacity(importance, line.size())) {
    ++(importance == LineImportance::routine ? dropped_.routine : dropped_.notable);
    return;
  }
  ++accepted_;
  const bool was_empty = queued_.empty();
  queued_ += line;
  if (was_empty) wake_.notify_one();
}

bool BoundedEventLog::hasCapacity(LineImportance importance, std::size_t bytes) const {
  const std::size_t filled = queued_.size() + bytes;
  const auto within = [&](std::size_t quarters) {
    return filled <= settings_.queue_bytes / kQuarters * quarters;
  };
  if (importance == LineImportance::notable) return within(kQuarters);
  if (within(kUnsampledRoutineQuarters)) return true;
  return within(kSampledRoutineQuarters) && (accepted_ + dropped_.routine) % kRoutineSampleInterval == 0;
}

void BoundedEventLog::addRecent(const std::string& line) {
  recent_size_ += line.size();
  recent_.push_back(line);
  while (recent_size_ > settings_.recent_bytes) {
    recent_size_ -= recent_.front().size();
    recent_.pop_front();
  }
}

std::vector<std::string> BoundedEventLog::recentLines(std::string_view text) const {
  const std::lock_guard lock(mutex_);
  std::vector<std::string> matches;
  std::copy_if(recent_.begin(), recent_.end(), std::back_inserter(matches),
               [text](const std::string& line) { return line.find(text) != std::string::npos; });
  return matches;
}

DroppedLines BoundedEventLog::dropped() const {
  const std::lock_guard lock(mutex_);
  return dropped_;
}

std::uint64_t BoundedEventLog::linesAccepted() const {
  const std::lock_guard lock(mutex_);
  return accepted_;
}

void BoundedEventLog::writeBeforeFailure(EventId event, const std::vector<LogField>& fields) {
  const std::string line =
      formatLogLine(settings_.format, currentLogTime(), settings_.process, describeEvent(event), fields) +
      "\n";
  if (!lockBeforeFailure()) return;
  enqueue(event, line);
  mutex_.unlock();
}

bool BoundedEventLog::lockBeforeFailure() {
  const TimePoint deadline = clock_.now() + kMaxLockTime;
  while (!mutex_.try_lock()) {
    if (clock_.now() >= deadline) return false;
    std::this_thread::yield();
  }
  return true;
}

void BoundedEventLog::flushBeforeFailure() {
  if (!lockBeforeFailure()) return;
  std::string_view unwritten = queued_;
  while (!unwritten.empty()) {
    pollfd poll_entry{settings_.descriptor, POLLOUT, 0};
    if (::poll(&poll_entry, 1, kPollMilliseconds) <= 0) break;
    const ssize_t written =
        ::write(settings_.descriptor, unwritten.data(), std::min(unwritten.size(), kAtomicPipeBytes));
    if (written <= 0) break;
    unwritten.remove_prefix(static_cast<std::size_t>(written));
  }
  queued_.clear();
  mutex_.unlock();
}

// The writer thread.

void BoundedEventLog::run() {
  blockBrokenPipeSignal();
  std::unique_lock lock(mutex_);
  while (true) {
    wake_.wait(lock, [this] { return stopping_ || !queued_.empty(); });
    wake_.wait_for(lock, settings_.batch_interval, [this] { return stopping_; });
    appendDroppedCount();
    const std::string batch = std::exchange(queued_, {});
    lock.unlock();
    const bool written = writeToDescriptor(batch);
    lock.lock();
    if (!written || (stopping_ && queued_.empty())) return;
  }
}

/// Appends a line with the number of lines dropped since the last such line.
void BoundedEventLog::appendDroppedCount() {
  const std::uint64_t routine = dropped_.routine - dropped_reported_.routine;
  const std::uint64_t notable = dropped_.notable - dropped_reported_.notable;
  if (routine == 0 && notable == 0) return;
  dropped_reported_ = dropped_;
  const std::vector<LogField> fields = {{"routine", routine}, {"notable", notable}};
  queued_ += formatLogLine(settings_.format, currentLogTime(), settings_.process,
                           describeEvent(EventId::LogLinesDropped), fields) +
             "\n";
}

/// Polls for writability before each write, so that only this thread ever blocks.
/// @return false when the descriptor failed, or when the flush at shutdown timed out.
bool BoundedEventLog::writeToDescriptor(std::string_view text) {
  while (!text.empty()) {
    pollfd poll_entry{settings_.descriptor, POLLOUT, 0};
    const int ready = ::poll(&poll_entry, 1, kPollMilliseconds);
    if (ready <= 0) {
      if (flushTimedOut(clock_.now())) return false;
      continue;
    }
    const ssize_t written =
        ::write(settings_.descriptor, text.data(), std::min(text.size(), kAtomicPipeBytes));
    if (written < 0 && errno != EINTR && errno != EAGAIN) return false;
    if (written > 0) text.remove_prefix(static_cast<std::size_t>(written));
  }
  return true;
}

bool BoundedEventLog::flushTimedOut(TimePoint now) const {
  const std::lock_guard lock(mutex_);
  return stopping_ && now - stopping_since_ >= settings_.final_flush_timeout;
}

}  // namespace crankspur
