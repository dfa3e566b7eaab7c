#pragma once
/// @file A platform that answers nothing by itself: tests tell its news and answer its calls by hand.

#include <map>
#include <string>
#include <utility>

#include "gateway_control/platform_link.h"

namespace crankspur::gateway {

class FakePlatformLink : public PlatformLink {
public:
  void start(PlatformNews told) override { news = std::move(told); }
  void setListPause(Duration pause) override { list_pause = pause; }
  void setReaders(std::vector<std::string> addresses) override { readers = std::move(addresses); }
  void readLease(const std::string&, std::function<void(std::optional<LeaseRow>)>) override {}
  void writeLease(const std::string&, const LeaseRow&, std::uint64_t,
                  std::function<void(bool, std::optional<LeaseRow>)>) override {}
  void readWeights(const std::string&, std::function<void(std::optional<WeightsReport>)>) override {}
  void sendOrder(const WeightsOrder&, std::function<void(OrderAnswer)>) override {}
  void readCacheEvents(const std::string& address, std::uint64_t, Duration wait,
                       std::function<void(CachedPartsPage)> done) override {
    events_calls[address] = std::move(done);
    events_waits[address] = wait;
  }
  void readCacheContent(const std::string&, std::function<void(CachedPartsPage)>) override {}

  PlatformNews news;
  Duration list_pause{0};
  std::vector<std::string> readers;
  std::map<std::string, std::function<void(CachedPartsPage)>> events_calls;  ///< That wait, by address.
  std::map<std::string, Duration> events_waits;                              ///< As asked for last.
};

}  // namespace crankspur::gateway
