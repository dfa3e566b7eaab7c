#pragma once
/// @file Reads the platform's tables for those gateways that do not read the store themselves: a gateway that
/// serves clients reads the store and answers the others from its copy; one that stands by asks it instead.
/// Answers say how old the reader's contact with the store is, so that what is bounded in time, such as the
/// validity of keys, counts from the store on and not from the reader.

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <system_error>
#include <vector>

#include "gateway_control/reader_selector.h"
#include "gateway_control/table_mirror.h"
#include "gateway_control/table_source.h"
#include "http/client.h"
#include "http/server.h"

namespace crankspur::gateway {

/// Both sides of the relay. Use from the executor's thread only.
class TableRelay : public TableSource {
public:
  /// @param store reads the platform itself; must outlive this.
  TableRelay(const boost::asio::any_io_executor& executor, http::Client& client, TableSource& store,
             std::uint64_t random_seed);
  /// Answers other gateways.
  /// @param address "IP:port".
  std::error_code listen(const std::string& address);
  /// @return the port that was bound; 0: none.
  std::uint16_t port() const { return server_ == nullptr ? 0 : server_->port(); }
  /// @param readers addresses of gateways to ask, the best first; empty: the platform itself.
  void setReaders(std::vector<std::string> readers) { choice_.setReaders(std::move(readers)); }
  bool readsPlatform() const { return choice_.readsPlatform(); }

  void read(const std::string& table, const std::string& from, TableCallback done) override;
  void waitForChanges(const std::string& table, std::uint64_t version, Duration wait,
                      TableCallback done) override;
  void onLate(const std::string& table) override;

  // What this gateway learns of a table goes to its copy.
  void onRow(const std::string& table, const RelayedRow& row) { mirrors_[table].onRow(row); }
  void onWhole(const std::string& table, const std::vector<std::string>& keys) {
    mirrors_[table].onWhole(keys);
  }
  void onContact(const std::string& table, std::uint64_t version, TimePoint as_of);
  /// This gateway has lost its own source: those that wait are told at once, and look for another reader.
  void onUnavailable(const std::string& table);

private:
  /// A question of another gateway that waits for news.
  struct WaitingRequest {
    std::string table;
    std::uint64_t after = 0;
    TimePoint since{};
    TimePoint until{};
    std::shared_ptr<http::ResponseWriter> writer;
    bool gone = false;
  };

  TimePoint now() const { return clock_.now(); }
  void serve(const http::Request& request, const std::shared_ptr<http::ResponseWriter>& writer);
  void answer(const WaitingRequest& waiting);
  void respondExpired();
  void armTimer();
  ReadTarget nextSource(const std::string& table);
  TableCallback recordOutcome(TableCallback done);
  void respondUnavailable(http::ResponseWriter& writer) const;
  void requestFromGateway(const std::string& address, const std::string& target, Duration wait,
                          TableCallback done);
  TableResponse parseResponse(const http::Response& response, TimePoint sent_at, Duration wait) const;

  http::Client& client_;
  TableSource& store_;
  SteadyClock clock_;
  ReaderSelector choice_;
  std::map<std::string, TableMirror> mirrors_;     ///< By table.
  std::map<std::string, ReadTarget> last_target_;  ///< Where the last call for each table went.
  std::set<std::string> unavailable_tables_;  ///< Tables whose own source was lost since the last contact.
  std::list<std::shared_ptr<WaitingRequest>> waiting_;
  boost::asio::any_io_executor executor_;
  boost::asio::steady_timer timer_;
  bool timer_armed_ = false;
  std::unique_ptr<http::Server> server_;
};

}  // namespace crankspur::gateway
