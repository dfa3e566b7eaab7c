#pragma once
/// @file A platform that does nothing by itself: tests invoke its callbacks and complete its calls.

#include <map>
#include <string>
#include <utility>

#include "gateway_control/platform_link.h"

namespace crankspur::gateway {

class FakePlatformLink : public PlatformLink {
public:
  void start(PlatformCallbacks callbacks) override { platform_callbacks = std::move(callbacks); }
  void onWake() override { ++wakes; }
  void setListBatchDelay(Duration delay) override { list_batch_delay = delay; }
  void setReaders(std::vector<std::string> addresses) override { readers = std::move(addresses); }
  void readLease(const std::string&, std::function<void(std::optional<LeaseRow>)>) override {}
  void writeLease(const std::string&, const LeaseRow&, std::uint64_t,
                  std::function<void(bool, std::optional<LeaseRow>)>) override {}
  void refreshList() override {}
  void readRecord(const std::string&, std::function<void(const std::optional<StoredRecord>&)> done) override {
    record_reads.push_back(std::move(done));
  }
  void writeRecord(const std::string&, const std::string& text, std::uint64_t expected_version,
                   std::function<void(std::optional<std::uint64_t>)> done) override {
    const bool written = expected_version == record.row_version;
    if (written) record = {text, expected_version + 1, Duration(0)};
    record_writes.push_back(std::move(done));
    record_writes.back()(written ? std::optional(record.row_version) : std::nullopt);
  }
  /// Completes all pending reads of the record with the same response.
  void completeRecordReads(bool reachable) {
    const std::optional<StoredRecord> response = reachable ? std::optional(record) : std::nullopt;
    for (auto& done : std::exchange(record_reads, {})) done(response);
  }
  void readWeights(const std::string&, std::function<void(std::optional<WeightsReport>)>) override {}
  void sendOrder(const WeightsOrder&, std::function<void(OrderResponse)>) override {}
  void readCacheEvents(const std::string& address, std::uint64_t, Duration wait,
                       std::function<void(CachedPartsPage)> done) override {
    events_calls[address] = std::move(done);
    events_waits[address] = wait;
  }
  void readCacheContent(const std::string&, std::function<void(CachedPartsPage)>) override {}

  PlatformCallbacks platform_callbacks;
  int wakes = 0;
  StoredRecord record;
  std::vector<std::function<void(const std::optional<StoredRecord>&)>> record_reads;
  std::vector<std::function<void(std::optional<std::uint64_t>)>> record_writes;
  Duration list_batch_delay{0};
  std::vector<std::string> readers;
  std::map<std::string, std::function<void(CachedPartsPage)>> events_calls;  ///< Pending, by address.
  std::map<std::string, Duration> events_waits;  ///< As last requested, by address.
};

}  // namespace crankspur::gateway
