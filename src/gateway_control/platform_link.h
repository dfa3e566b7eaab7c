#pragma once
/// @file What a gateway's control state needs of the platform it runs on, in the product's terms. Translators
/// implement it; everything happens on the control thread.

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

/// A back end as the platform lists it.
struct ListedBackend {
  std::string id;             ///< Differs at each start of a back end.
  std::uint64_t born_ms = 0;  ///< Unix time of the start, for those that read lists; 0: not stated.
  std::string pool;
  std::string address;  ///< "IP:port".
  std::string zone;
  std::uint32_t slots = 0;
  bool draining = false;
  Duration cold_left{0};
  std::vector<LoadedModel> models;
  bool is_kv_store = false;         ///< Named by the configuration, not by the list.
  double link_bits_per_second = 0;  ///< Rate at which a store gives KV cache away; 0: not stated.
};

/// What the platform tells unasked. Listed back ends come before the contact that vouches for them.
struct PlatformCallbacks {
  /// A configuration that the operator had accepted; versions may repeat but never mean different things.
  std::function<void(std::shared_ptr<const Configuration>)> on_configuration;
  std::function<void(NamedWeights)> on_weights;
  std::function<void(const ListedBackend&)> on_backend;
  /// The platform lists the back end no longer.
  std::function<void(const std::string& id)> on_backend_removed;
  /// A whole list has been told: back ends that it left out are listed no longer.
  std::function<void(const std::vector<std::string>& ids)> on_full_list;
  /// Everything that the operator had accepted by `as_of` has been told.
  std::function<void(TimePoint as_of)> on_contact;
  /// The platform did not answer or turned a call away.
  std::function<void()> on_trouble;
  /// Open connections to several peers have gone silent together, while new ones may work.
  std::function<void()> on_connections_silent;
};

/// What a back end says of the weights that it holds.
struct WeightsReport {
  std::uint64_t orders_taken = 0;  ///< Grows with each order; forgotten at a restart.
  bool order_running = false;
  std::vector<LoadedModel> models;
  LoadReport load;  ///< measured_at is left to the receiver.
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

/// How a back end answered an order.
enum class OrderResponse {
  Begun,     ///< It is loading.
  InEffect,  ///< It has these weights.
  Conflict,  ///< Another order runs, or others were taken since the report.
  Fenced,    ///< It saw a higher token.
  Refused,   ///< It does not know the order, or is another back end.
  Unknown,   ///< No answer: it may have been taken, or be taken later.
};

/// One answer about the cached parts of a back end or store.
struct CachedPartsPage {
  bool answered = false;
  bool rejected = false;       ///< It answers, but holds as many such calls as it may.
  std::uint64_t epoch = 0;     ///< Differs after each restart of the cache.
  std::uint64_t position = 0;  ///< Where the next question begins.
  bool gap = false;            ///< Events were lost: ask for the whole.
  std::vector<CachedPart> parts;
};

/// A row of this program's own in the platform's store.
struct StoredRecord {
  std::string text;               ///< Empty: there is none.
  std::uint64_t row_version = 0;  ///< 0: there is none.
  Duration age{0};                ///< Since it was written, by the store's clock.
};

/// The platform and the back ends behind it.
class PlatformLink {
public:
  virtual ~PlatformLink() = default;
  /// Begins to tell news.
  virtual void start(PlatformCallbacks news) = 0;
  /// The machine was suspended: connections of before are not trusted, and what the platform holds is asked
  /// for anew.
  virtual void onWake() = 0;
  /// Changes of the list of back ends may be gathered for so long before they are told.
  virtual void setListBatchDelay(Duration pause) = 0;
  /// Names other gateways to ask for what the platform holds.
  /// @param addresses "IP:port", the best first; empty: this gateway asks the platform itself.
  virtual void setReaders(std::vector<std::string> addresses) = 0;
  /// @param done gets the row, or empty when the platform did not answer.
  virtual void readLease(const std::string& name, std::function<void(std::optional<LeaseRow>)> done) = 0;
  /// Writes the row if it still has `expected_version`.
  /// @param done gets whether it was written and the present row; empty when the outcome is unknown.
  virtual void writeLease(const std::string& name, const LeaseRow& row, std::uint64_t expected_version,
                          std::function<void(bool written, std::optional<LeaseRow>)> done) = 0;
  /// @param done gets the record, or empty when the platform did not answer.
  virtual void readRecord(const std::string& name,
                          std::function<void(const std::optional<StoredRecord>&)> done) = 0;
  /// Writes the record if its row still has `expected_version`.
  /// @param done gets whether it was written; false also when that is unknown.
  virtual void writeRecord(const std::string& name, const std::string& text, std::uint64_t expected_version,
                           std::function<void(bool written)> done) = 0;
  virtual void readWeights(const std::string& address,
                           std::function<void(std::optional<WeightsReport>)> done) = 0;
  virtual void sendOrder(const WeightsOrder& order, std::function<void(OrderResponse)> done) = 0;
  /// Asks for changes after `position`, waiting up to `wait` for the first.
  virtual void readCacheEvents(const std::string& address, std::uint64_t position, Duration wait,
                               std::function<void(CachedPartsPage)> done) = 0;
  /// Asks for everything that is cached now.
  virtual void readCacheContent(const std::string& address, std::function<void(CachedPartsPage)> done) = 0;
};

}  // namespace crankspur::gateway
