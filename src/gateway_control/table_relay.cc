#include "gateway_control/table_relay.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "internal_protocol/codec.h"

namespace crankspur::gateway {
namespace {

constexpr char kPath[] = "/table";
constexpr int kOk = 200;
constexpr int kGone = 410;
constexpr int kUnavailable = 503;
constexpr Duration kConnectTimeout = std::chrono::milliseconds(400);
/// Beyond the wait last for: the way there and back, and a reader that is late.
constexpr Duration kResponseMargin = std::chrono::milliseconds(1'200);
/// A reader hears from the store once in the time that its own calls are held. Those that ask it hold theirs
/// this much longer, so that its next contact falls within.
constexpr Duration kHoldMargin = std::chrono::milliseconds(400);
/// An answer whose contact is older than the wait by this much comes from a reader in trouble.
constexpr Duration kStaleMargin = std::chrono::milliseconds(1'000);
/// Questions that wait are looked at so often.
constexpr Duration kWaitingCheckInterval = std::chrono::milliseconds(200);
/// Least age at which a contact counts as old whatever the wait: a call without a wait may come at any moment
/// of the reader's own.
constexpr Duration kMinStaleAge = std::chrono::milliseconds(3'500);
constexpr Duration kMaxWait = std::chrono::seconds(30);

std::uint64_t number(const std::string& text) {
  std::uint64_t value = 0;
  std::from_chars(text.data(), text.data() + text.size(), value);
  return value;
}

std::uint32_t milliseconds(Duration time) {
  const auto count = std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
  return static_cast<std::uint32_t>(std::clamp<std::int64_t>(count, 0, UINT32_MAX));
}

}  // namespace

TableRelay::TableRelay(const boost::asio::any_io_executor& executor, http::Client& client, TableSource& store,
                       std::uint64_t random_seed)
    : client_(client), store_(store), choice_(random_seed), executor_(executor), timer_(executor) {}

std::error_code TableRelay::listen(const std::string& address) {
  std::error_code error;
  const auto handler = [this](const http::Request& request,
                              const std::shared_ptr<http::ResponseWriter>& writer) {
    serve(request, writer);
  };
  server_ = http::listen(executor_, address, handler, error);
  return error;
}

// The side that asks.

void TableRelay::read(const std::string& table, const std::string& from, TableCallback done) {
  const ReadTarget source = nextSource(table);
  if (source.kind == ReadTarget::Kind::Platform)
    return store_.read(table, from, recordOutcome(std::move(done)));
  if (source.kind == ReadTarget::Kind::None) return done({TableOutcome::Rejected, {}, false, 0, 0, {}});
  requestFromGateway(source.address, std::string(kPath) + "?name=" + table, Duration(0), std::move(done));
}

void TableRelay::waitForChanges(const std::string& table, std::uint64_t version, Duration wait,
                                TableCallback done) {
  const ReadTarget source = nextSource(table);
  if (source.kind == ReadTarget::Kind::Platform) {
    return store_.waitForChanges(table, version, wait, recordOutcome(std::move(done)));
  }
  if (source.kind == ReadTarget::Kind::None) return done({TableOutcome::Rejected, {}, false, 0, 0, {}});
  const std::string target = std::string(kPath) + "?name=" + table + "&after=" + std::to_string(version) +
                             "&wait_ms=" + std::to_string(milliseconds(wait));
  requestFromGateway(source.address, target, wait, std::move(done));
}

ReadTarget TableRelay::nextSource(const std::string& table) {
  ReadTarget source = choice_.next(now());
  last_target_[table] = source;
  // All readers fail or are late: connections to the store that are kept for other calls may be silent as
  // well.
  if (source.kind == ReadTarget::Kind::Platform && !readsPlatform()) store_.onLate(table);
  return source;
}

TableCallback TableRelay::recordOutcome(TableCallback done) {
  return [this, done = std::move(done)](TableResponse answer) {
    const bool answered =
        answer.outcome == TableOutcome::Done || answer.outcome == TableOutcome::HistoryCompacted;
    choice_.onPlatformResponse(answered);
    done(std::move(answer));
  };
}

void TableRelay::onLate(const std::string& table) {
  const auto last = last_target_.find(table);
  if (last == last_target_.end()) return;
  if (last->second.kind == ReadTarget::Kind::Platform) return store_.onLate(table);
  if (last->second.kind == ReadTarget::Kind::None) return;
  choice_.onLate(last->second.address, now());
  // The connection to the next one may be as silent.
  client_.leaveKept("");
}

void TableRelay::requestFromGateway(const std::string& address, const std::string& target, Duration wait,
                                    TableCallback done) {
  http::Request request;
  request.target = target;
  http::ExchangeOptions options;
  options.connect_timeout = kConnectTimeout;
  options.idle_timeout = wait + kHoldMargin + kResponseMargin;
  const TimePoint sent_at = now();
  http::ExchangeCallbacks callbacks;
  callbacks.on_done = [this, address, wait, sent_at, done = std::move(done)](
                          std::error_code error, http::SendState, const http::Response& response) {
    TableResponse answer;
    if (!error) answer = parseResponse(response, sent_at, wait);
    const bool usable =
        answer.outcome == TableOutcome::Done || answer.outcome == TableOutcome::HistoryCompacted;
    if (!usable && !choice_.wasLateAfter(address, sent_at)) choice_.onFailed(address, now());
    done(std::move(answer));
  };
  client_.start(address, std::move(request), std::move(callbacks), options);
}

/// The reader held the call for a time that it measured, and its contact was so old when it answered: counted
/// from the sending, the contact is never taken to be younger than it was.
TableResponse TableRelay::parseResponse(const http::Response& response, TimePoint sent_at,
                                        Duration wait) const {
  TableResponse answer;
  if (response.status == kGone) answer.outcome = TableOutcome::HistoryCompacted;
  if (response.status == kUnavailable) answer.outcome = TableOutcome::Rejected;
  if (response.status != kOk) return answer;
  DecodedFrame frame = decodeFrame(response.body);
  auto* rows = frame.message ? std::get_if<RelayedRows>(&*frame.message) : nullptr;
  if (rows == nullptr) return answer;
  const Duration age = std::chrono::milliseconds(rows->contact_age_milliseconds);
  if (rows->in_trouble || age > std::max(wait + kStaleMargin, kMinStaleAge)) return answer;
  answer.outcome = TableOutcome::Done;
  answer.rows = std::move(rows->rows);
  answer.version = rows->version;
  answer.as_of = sent_at + std::chrono::milliseconds(rows->held_milliseconds) - age;
  return answer;
}

// The side that is last.

void TableRelay::serve(const http::Request& request, const std::shared_ptr<http::ResponseWriter>& writer) {
  const auto mirror = mirrors_.find(request.query("name"));
  const bool known = request.path() == kPath && mirror != mirrors_.end() && mirror->second.known();
  if (!known || !readsPlatform()) return writer->respond({kUnavailable, {}, ""});
  // One that waited here for a contact that may not come would learn of the trouble seconds later.
  if (unavailable_tables_.contains(mirror->first)) return respondUnavailable(*writer);
  WaitingRequest question;
  question.table = mirror->first;
  question.after = number(request.query("after"));
  question.since = now();
  question.writer = writer;
  const Duration wait =
      std::min<Duration>(std::chrono::milliseconds(number(request.query("wait_ms"))), kMaxWait);
  const bool has_changes = mirror->second.version() > question.after;
  if (wait == Duration(0) || has_changes) return answer(question);
  question.until = now() + wait + kHoldMargin;
  const auto kept = std::make_shared<WaitingRequest>(std::move(question));
  kept->writer->onClientGone([weak = std::weak_ptr<WaitingRequest>(kept)] {
    if (const auto waiting = weak.lock()) waiting->gone = true;
  });
  waiting_.push_back(kept);
  armTimer();
}

/// An answer to a question without a version is the whole table.
void TableRelay::answer(const WaitingRequest& waiting) {
  const TableMirror& mirror = mirrors_[waiting.table];
  RelayedRows message;
  message.version = mirror.version();
  message.contact_age_milliseconds = milliseconds(now() - mirror.asOf()) + 1;
  message.held_milliseconds = milliseconds(now() - waiting.since);
  if (waiting.after == 0) {
    message.rows = mirror.rows();
  } else if (auto changes = mirror.changesAfter(waiting.after)) {
    message.rows = std::move(*changes);
  } else {
    return waiting.writer->respond({kGone, {}, ""});
  }
  waiting.writer->respond({kOk, {}, encodeFrame(message)});
}

void TableRelay::onContact(const std::string& table, std::uint64_t version, TimePoint as_of) {
  mirrors_[table].onContact(version, as_of);
  unavailable_tables_.erase(table);
  const auto is_due = [&table](const std::shared_ptr<WaitingRequest>& one) { return one->table == table; };
  const auto rest = std::stable_partition(waiting_.begin(), waiting_.end(), std::not_fn(is_due));
  const std::vector<std::shared_ptr<WaitingRequest>> due(rest, waiting_.end());
  waiting_.erase(rest, waiting_.end());
  for (const auto& waiting : due) {
    if (!waiting->gone) answer(*waiting);
  }
}

void TableRelay::onUnavailable(const std::string& table) {
  unavailable_tables_.insert(table);
  for (const auto& waiting : waiting_) {
    if (waiting->table != table || waiting->gone) continue;
    respondUnavailable(*waiting->writer);
    waiting->gone = true;
  }
  std::erase_if(waiting_, [](const auto& waiting) { return waiting->gone; });
}

void TableRelay::respondUnavailable(http::ResponseWriter& writer) const {
  RelayedRows message;
  message.in_trouble = true;
  writer.respond({kOk, {}, encodeFrame(message)});
}

/// Questions that have waited long enough are answered with what is known.
void TableRelay::respondExpired() {
  std::vector<std::shared_ptr<WaitingRequest>> due;
  for (const auto& waiting : waiting_) {
    if (now() >= waiting->until) due.push_back(waiting);
  }
  std::erase_if(waiting_, [this](const auto& waiting) { return waiting->gone || now() >= waiting->until; });
  for (const auto& waiting : due) {
    if (!waiting->gone) answer(*waiting);
  }
}

void TableRelay::armTimer() {
  if (waiting_.empty() || std::exchange(timer_armed_, true)) return;
  timer_.expires_after(kWaitingCheckInterval);
  timer_.async_wait([this](boost::system::error_code error) {
    if (error) return;
    timer_armed_ = false;
    respondExpired();
    armTimer();
  });
}

}  // namespace crankspur::gateway
