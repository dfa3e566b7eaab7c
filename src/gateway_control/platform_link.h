#pragma once
/// @file Interface between a gateway's control state and the platform it runs on. Platform-specific
/// translators implement it. All calls and callbacks run on the control thread.

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "gateway/cached_parts.h"
#include "gateway/gateway_snapshot.h"
#include "lease/lease.h"

namespace crankspur::gateway {

/// Entry of a back end in the platform's list.
struct ListedBackend {
  std::string id;             ///< New at each start of the back end.
  std::uint64_t born_ms = 0;  ///< Unix time of the start, for readers of lists; 0: not stated.
  /// Grows with each change of the platform's list: of two entries, the one with the higher version was
  /// written later. 0: not stated.
  std::uint64_t entry_version = 0;
  std::string pool;
  std::string address;  ///< "IP:port".
  std::string zone;
  std::string build;  ///< Version of its software.
  std::uint32_t slots = 0;
  bool draining = false;
  Duration cold_left{0};
  std::vector<LoadedModel> models;
  bool is_kv_store = false;         ///< Comes from the configuration, not from the list.
  double link_bits_per_second = 0;  ///< Rate at which a store sends KV cache; 0: not stated.
};

/// Notifications from the platform. Listed back ends are delivered before the contact that confirms them.
struct PlatformCallbacks {
  /// A configuration that the platform accepted from the operator. A version may be delivered more than once,
  /// but always with the same content.
  std::function<void(std::shared_ptr<const Configuration>)> on_configuration;
  std::function<void(NamedWeights)> on_weights;
  std::function<void(const ListedBackend&)> on_backend;
  /// The back end was removed from the list.
  std::function<void(const std::string& id)> on_backend_removed;
  /// A complete list was delivered: back ends that are not among `ids` are removed.
  std::function<void(const std::vector<std::string>& ids)> on_full_list;
  /// Everything that the platform accepted from the operator by `as_of` has been delivered.
  std::function<void(TimePoint as_of)> on_contact;
  /// Every change of the list of back ends that the platform accepted by `as_of` has been delivered.
  std::function<void(TimePoint as_of)> on_list_contact;
  /// The platform did not respond, or rejected a call.
  std::function<void()> on_failure;
  /// Repeated calls for the list of back ends failed: back ends may have been unable to renew their entries.
  std::function<void()> on_list_outage;
  /// Open connections to several peers went silent together; new connections may still work.
  std::function<void()> on_connections_silent;
};

/// Report of a back end about the weights that it holds.
struct WeightsReport {
  std::uint64_t orders_taken = 0;  ///< Incremented by each order; reset by a restart.
  bool order_running = false;
  std::vector<LoadedModel> models;
  LoadReport load;  ///< measured_at is set by the receiver.
};

/// An order to load weights.
struct WeightsOrder {
  std::string address;
  std::string backend;  ///< Incarnation that the order is meant for.
  std::string model;
  std::uint64_t version = 0;
  std::uint64_t expected_orders_taken = 0;
  std::string holder;
  std::uint64_t fencing_token = 0;
};

/// Outcome of an order sent to a back end.
enum class OrderResponse {
  Begun,     ///< The back end started to load the weights.
  InEffect,  ///< The back end already has these weights.
  Conflict,  ///< Another order is running, or others were accepted since the report.
  Fenced,    ///< The back end has seen a higher fencing token.
  Refused,   ///< The back end does not support the order, or is another incarnation.
  Unknown,   ///< No response: the order may have been accepted or may be accepted later.
};

/// One response about the cached parts of a back end or store.
struct CachedPartsPage {
  bool responded = false;
  bool rejected = false;       ///< It responded, but already holds its maximum of such calls.
  std::uint64_t epoch = 0;     ///< Changes at each restart of the cache.
  std::uint64_t position = 0;  ///< Position to request next.
  bool gap = false;            ///< Events were lost; the complete content must be read.
  std::vector<CachedPart> parts;
};

/// A row that this program owns in the platform's store.
struct StoredRecord {
  std::string text;               ///< Empty: the row does not exist.
  std::uint64_t row_version = 0;  ///< 0: the row does not exist.
  Duration age{0};                ///< Time since it was written, by the store's clock.
};

/// Access to the platform and to the back ends it lists.
class PlatformLink {
public:
  virtual ~PlatformLink() = default;
  /// Starts to deliver notifications.
  virtual void start(PlatformCallbacks callbacks) = 0;
  /// The machine was suspended: abandons connections opened before and reads the state of the platform again.
  virtual void onWake() = 0;
  /// Sets how long changes of the list of back ends may be batched before they are delivered.
  virtual void setListBatchDelay(Duration delay) = 0;
  /// Reads the list of back ends from the platform, also if it is usually read from other gateways. The
  /// contact that confirms it is as of now or later.
  virtual void refreshList() = 0;
  /// Sets other gateways from which the state of the platform is read.
  /// @param addresses "IP:port" by descending preference; empty: this gateway reads the platform itself.
  virtual void setReaders(std::vector<std::string> addresses) = 0;
  /// @param done receives the row, or nullopt if the platform did not respond.
  virtual void readLease(const std::string& name, std::function<void(std::optional<LeaseRow>)> done) = 0;
  /// Writes the row if it still has `expected_version`.
  /// @param done receives whether the row was written, and the current row; nullopt if the outcome is
  /// unknown.
  virtual void writeLease(const std::string& name, const LeaseRow& row, std::uint64_t expected_version,
                          std::function<void(bool written, std::optional<LeaseRow>)> done) = 0;
  /// @param done receives the record, or nullopt if the platform did not respond.
  virtual void readRecord(const std::string& name,
                          std::function<void(const std::optional<StoredRecord>&)> done) = 0;
  /// Writes the record if its row still has `expected_version`.
  /// @param done receives the new version of the row; empty if it was not written, or if the outcome is
  /// unknown.
  virtual void writeRecord(const std::string& name, const std::string& text, std::uint64_t expected_version,
                           std::function<void(std::optional<std::uint64_t> version)> done) = 0;
  virtual void readWeights(const std::string& address,
                           std::function<void(std::optional<WeightsReport>)> done) = 0;
  virtual void sendOrder(const WeightsOrder& order, std::function<void(OrderResponse)> done) = 0;
  /// Requests changes after `position`; the response is delayed up to `wait` until there is one.
  virtual void readCacheEvents(const std::string& address, std::uint64_t position, Duration wait,
                               std::function<void(CachedPartsPage)> done) = 0;
  /// Requests everything that is currently cached.
  virtual void readCacheContent(const std::string& address, std::function<void(CachedPartsPage)> done) = 0;
};

}  // namespace crankspur::gateway
