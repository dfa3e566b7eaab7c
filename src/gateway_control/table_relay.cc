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
/// Time allowed beyond the requested wait, for the round trip and a late reader.
constexpr Duration kResponseMargin = std::chrono::milliseconds(1'200);
/// A reader has contact with the store once per hold time of its own calls. It holds requests of other
/// gateways longer by this margin, so that its next contact falls within.
constexpr Duration kHoldMargin = std::chrono::milliseconds(400);
/// A response whose contact is older than the wait plus this margin comes from a reader that lost the store.
constexpr Duration kStaleMargin = std::chrono::milliseconds(1'000);
/// Interval at which held requests are checked for expiry.
constexpr Duration kWaitingCheckInterval = std::chrono::milliseconds(200);
/// Minimum age at which a contact counts as stale, regardless of the wait: a call without a wait may arrive
/// at any time during the reader's own call.
constexpr Duration kMinStaleAge = std::chrono::milliseconds(3'500);
/// The requests of other gateways have no body.
constexpr std::size_t kMaxRequestBodyBytes = 1024;
constexpr std::size_t kMaxConnections = 1024;
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
    : client_(client), store_(store), selector_(random_seed), executor_(executor), timer_(executor) {}

std::error_code TableRelay::listen(const std::string& address, std::shared_ptr<ByteBudget> budget) {
  std::error_code error;
  const auto handler = [this](const http::Request& request,
                              const std::shared_ptr<http::ResponseWriter>& writer) {
    serve(request, writer);
  };
  http::ServerLimits limits;
  limits.body_bytes = kMaxRequestBodyBytes;
  limits.connections = kMaxConnections;
  limits.budget = std::move(budget);
  server_ = http::listen(executor_, address, handler, error, limits);
  return error;
}

// Client side.

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
  if (platform_next_.erase(table) > 0) return last_target_[table] = {ReadTarget::Kind::Platform, ""};
  ReadTarget source = selector_.next(now());
  last_target_[table] = source;
  // All readers fail or are late, so idle connections to the store may be silent as well.
  if (source.kind == ReadTarget::Kind::Platform && !readsPlatform()) store_.onLate(table);
  return source;
}

TableCallback TableRelay::recordOutcome(TableCallback done) {
  return [this, done = std::move(done)](TableResponse result) {
    const bool responded =
        result.outcome == TableOutcome::Done || result.outcome == TableOutcome::HistoryCompacted;
    selector_.onPlatformResponse(responded);
    done(std::move(result));
  };
}

void TableRelay::onLate(const std::string& table) {
  const auto last = last_target_.find(table);
  if (last == last_target_.end()) return;
  if (last->second.kind == ReadTarget::Kind::Platform) return store_.onLate(table);
  if (last->second.kind == ReadTarget::Kind::None) return;
  selector_.onLate(last->second.address, now());
  // Idle connections to the next reader may be silent as well.
  client_.closeStaleConnections("");
}

void TableRelay::requestFromGateway(const std::string& address, const std::string& target, Duration wait,
                                    TableCallback done) {
  http::Request request;
  request.target = target;
  http::ExchangeOptions options;
  options.connect_timeout = kConnectTimeout;
  options.idle_timeout = wait + kHoldMargin + kResponseMargin;
  options.may_be_repeated = true;
  const TimePoint sent_at = now();
  http::ExchangeCallbacks callbacks;
  callbacks.on_done = [this, address, wait, sent_at, done = std::move(done)](
                          std::error_code error, http::SendState, const http::Response& response) {
    TableResponse result;
    if (!error) result = parseResponse(response, sent_at, wait);
    const bool usable =
        result.outcome == TableOutcome::Done || result.outcome == TableOutcome::HistoryCompacted;
    if (!usable && !selector_.wasLateAfter(address, sent_at)) selector_.onFailed(address, now());
    done(std::move(result));
  };
  client_.start(address, std::move(request), std::move(callbacks), options);
}

/// The reader states how long it held the call and how old its contact was when it responded. Both are
/// counted from the time of sending, so the contact is never assumed to be more recent than it was.
TableResponse TableRelay::parseResponse(const http::Response& response, TimePoint sent_at,
                                        Duration wait) const {
  TableResponse result;
  if (response.status == kGone) result.outcome = TableOutcome::HistoryCompacted;
  if (response.status == kUnavailable) result.outcome = TableOutcome::Rejected;
  if (response.status != kOk) return result;
  DecodedFrame frame = decodeFrame(response.body);
  auto* rows = frame.message ? std::get_if<RelayedRows>(&*frame.message) : nullptr;
  if (rows == nullptr) return result;
  const Duration age = std::chrono::milliseconds(rows->contact_age_milliseconds);
  if (rows->in_trouble || age > std::max(wait + kStaleMargin, kMinStaleAge)) return result;
  result.outcome = TableOutcome::Done;
  result.rows = std::move(rows->rows);
  result.version = rows->version;
  result.as_of = sent_at + std::chrono::milliseconds(rows->held_milliseconds) - age;
  return result;
}

// Server side.

void TableRelay::serve(const http::Request& request, const std::shared_ptr<http::ResponseWriter>& writer) {
  const auto mirror = mirrors_.find(request.query("name"));
  const bool known = request.path() == kPath && mirror != mirrors_.end() && mirror->second.known();
  if (!known || !readsPlatform()) return writer->respond({kUnavailable, {}, ""});
  // Holding the request for a contact that may not come would delay this response by seconds.
  if (unavailable_tables_.contains(mirror->first)) return respondUnavailable(*writer);
  WaitingRequest pending;
  pending.table = mirror->first;
  pending.after = number(request.query("after"));
  pending.since = now();
  pending.writer = writer;
  const Duration wait =
      std::min<Duration>(std::chrono::milliseconds(number(request.query("wait_ms"))), kMaxWait);
  const bool has_changes = mirror->second.version() > pending.after;
  if (wait == Duration(0) || has_changes) return respond(pending);
  pending.until = now() + wait + kHoldMargin;
  const auto kept = std::make_shared<WaitingRequest>(std::move(pending));
  kept->writer->onClientDisconnected([weak = std::weak_ptr<WaitingRequest>(kept)] {
    if (const auto waiting = weak.lock()) waiting->finished = true;
  });
  waiting_.push_back(kept);
  armTimer();
}

/// Responds with the changes after the requested version, or with the complete table if no version was given.
void TableRelay::respond(const WaitingRequest& waiting) {
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
  const auto is_due = [&table](const std::shared_ptr<WaitingRequest>& request) {
    return request->table == table;
  };
  const auto rest = std::stable_partition(waiting_.begin(), waiting_.end(), std::not_fn(is_due));
  const std::vector<std::shared_ptr<WaitingRequest>> due(rest, waiting_.end());
  waiting_.erase(rest, waiting_.end());
  for (const auto& waiting : due) {
    if (!waiting->finished) respond(*waiting);
  }
}

void TableRelay::onUnavailable(const std::string& table) {
  unavailable_tables_.insert(table);
  for (const auto& waiting : waiting_) {
    if (waiting->table != table || waiting->finished) continue;
    respondUnavailable(*waiting->writer);
    waiting->finished = true;
  }
  std::erase_if(waiting_, [](const auto& waiting) { return waiting->finished; });
}

void TableRelay::respondUnavailable(http::ResponseWriter& writer) const {
  RelayedRows message;
  message.in_trouble = true;
  writer.respond({kOk, {}, encodeFrame(message)});
}

/// Responds to requests whose hold time expired with the current copy.
void TableRelay::respondExpired() {
  std::vector<std::shared_ptr<WaitingRequest>> due;
  for (const auto& waiting : waiting_) {
    if (now() >= waiting->until) due.push_back(waiting);
  }
  std::erase_if(waiting_,
                [this](const auto& waiting) { return waiting->finished || now() >= waiting->until; });
  for (const auto& waiting : due) {
    if (!waiting->finished) respond(*waiting);
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
