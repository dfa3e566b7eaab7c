#include "router_process/platform_watcher.h"

#include <algorithm>
#include <utility>

namespace crankspur {

namespace {

/// Approximate rate of each kind of call over all routers, independent of their number.
constexpr double kFleetCallsPerSecond = 10;
/// A new bundle is fetched from the object store if no peer has sent it within this time, which is jittered.
constexpr Duration kMaxPeerWait = std::chrono::milliseconds(500);
/// The same for a router that has no bundle yet.
constexpr Duration kMaxInitialPeerWait = std::chrono::milliseconds(50);

}  // namespace

PlatformWatcher::PlatformWatcher(const boost::asio::any_io_executor& executor, PlatformWatcherOptions options,
                                 PlatformWatcherCallbacks callbacks, EventLog& log, std::uint64_t random_seed)
    : options_(std::move(options)),
      callbacks_(std::move(callbacks)),
      log_(log),
      random_(random_seed),
      http_(http::makeClient(executor)),
      machines_timer_(executor),
      bundle_timer_(executor),
      document_timer_(executor) {
  ServiceOptions service;
  service.address = options_.address;
  machines_ = makeMachineListClient(executor, *http_, clock_, service);
  table_ = makeTableClient(executor, *http_, clock_, service);
  objects_ = makeObjectClient(executor, *http_, clock_, service);
}

PlatformWatcher::~PlatformWatcher() = default;

void PlatformWatcher::start() {
  if (options_.address.empty()) return;
  fetchMachines();
  fetchBundleRow();
}

Duration PlatformWatcher::jitteredInterval(Duration interval) {
  const double fleet_interval = static_cast<double>(callbacks_.router_count()) / kFleetCallsPerSecond;
  const double seconds = std::max(toSeconds(interval), fleet_interval) * (0.7 + 0.6 * random_.unit());
  return Duration(static_cast<Duration::rep>(seconds * 1e6));
}

void PlatformWatcher::setReachable(bool reachable) {
  if (reachable == reachable_) return;
  reachable_ = reachable;
  log_.write(reachable ? EventId::PlatformReachable : EventId::PlatformUnreachable,
             {{"address", options_.address}});
}

void PlatformWatcher::fetchMachines() {
  machines_->fetch([this](const MachineListResult& result) {
    const auto* list = std::get_if<MachineList>(&result);
    setReachable(list != nullptr || std::holds_alternative<ServiceRateLimited>(result));
    if (list != nullptr) callbacks_.on_machines(*list);
    machines_timer_.expires_after(jitteredInterval(options_.machine_list_interval));
    machines_timer_.async_wait([this](boost::system::error_code error) {
      if (!error) fetchMachines();
    });
  });
}

void PlatformWatcher::fetchBundleRow() {
  table_->read(bundleRowKey(), [this](const ReadResult& result) {
    table_reachable_ = !std::holds_alternative<ServiceUnavailable>(result);
    if (const auto* row = std::get_if<TableRow>(&result)) onBundleRow(*row);
    bundle_timer_.expires_after(jitteredInterval(options_.bundle_row_interval));
    bundle_timer_.async_wait([this](boost::system::error_code error) {
      if (!error) fetchBundleRow();
    });
  });
}

void PlatformWatcher::onBundleRow(const TableRow& row) {
  const std::optional<BundleRow> accepted = parseBundleRow(row.value);
  if (!accepted || accepted->version <= callbacks_.held_version()) return;
  if (accepted->document_sha256 == refused_sha256_) return;
  const bool first = callbacks_.held_version() == 0;
  const Duration max_wait = first ? kMaxInitialPeerWait : kMaxPeerWait;
  const double fraction = random_.unit();
  document_timer_.expires_after(
      Duration(static_cast<Duration::rep>(static_cast<double>(max_wait.count()) * fraction)));
  document_timer_.async_wait([this, accepted](boost::system::error_code error) {
    if (error || accepted->version <= callbacks_.held_version()) return;
    fetchDocument(*accepted);
  });
}

void PlatformWatcher::fetchDocument(const BundleRow& row) {
  const std::string key = bundleObjectKey(row.version, row.document_sha256);
  objects_->get(key, [this, row](const GetObjectResult& result) {
    const auto* object = std::get_if<ObjectBody>(&result);
    if (object == nullptr) return;
    if (const auto body = bundleBodyFromRow(row, object->bytes)) {
      if (callbacks_.on_bundle(*body)) refused_sha256_ = row.document_sha256;
      return;
    }
    log_.write(EventId::RouterBundleRefused,
               {{"version", row.version},
                {"reason", "the stored object does not match the hash in the bundle row"}});
  });
}

}  // namespace crankspur
