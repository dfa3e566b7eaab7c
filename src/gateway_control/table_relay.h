#pragma once
/// @file Relays the platform's tables between gateways. A serving gateway is a reader: it reads the store and
/// responds to other gateways from its copy. A gateway on standby reads from such a reader instead of the
/// store. A response states the age of the reader's contact with the store, so that time limits such as the
/// validity of keys count from the contact with the store and not from the contact with the reader.

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <system_error>
#include <vector>

#include "base/byte_budget.h"
#include "gateway_control/reader_selector.h"
#include "gateway_control/table_mirror.h"
#include "gateway_control/table_source.h"
#include "http/client.h"
#include "http/server.h"

namespace crankspur::gateway {

/// Client and server side of the relay. Use from the executor's thread only.
class TableRelay : public TableSource {
public:
  /// @param store source that reads the platform directly; must outlive this object, as must `client`.
  TableRelay(const boost::asio::any_io_executor& executor, http::Client& client, TableSource& store,
             std::uint64_t random_seed);
  /// Starts to serve other gateways.
  /// @param address "IP:port".
  std::error_code listen(const std::string& address, std::shared_ptr<ByteBudget> budget = nullptr);
  /// @return the bound port; 0 if not listening.
  std::uint16_t port() const { return server_ == nullptr ? 0 : server_->port(); }
  /// @param readers addresses of gateways to read from, by descending preference; empty: the platform itself.
  void setReaders(std::vector<std::string> readers) { selector_.setReaders(std::move(readers)); }
  /// The next call for the table goes to the platform itself.
  void readPlatformNext(const std::string& table) { platform_next_.insert(table); }
  bool readsPlatform() const { return selector_.readsPlatform(); }

  void read(const std::string& table, const std::string& from, TableCallback done) override;
  void waitForChanges(const std::string& table, std::uint64_t version, Duration wait,
                      TableCallback done) override;
  void onLate(const std::string& table) override;

  // Updates of this gateway's own copy of a table.
  void onRow(const std::string& table, const RelayedRow& row) { mirrors_[table].onRow(row); }
  void onFullRead(const std::string& table, const std::vector<std::string>& keys) {
    mirrors_[table].onFullRead(keys);
  }
  void onContact(const std::string& table, std::uint64_t version, TimePoint as_of);
  /// This gateway lost its own source of the table. Waiting requests are responded to immediately, so that
  /// their senders can choose another reader.
  void onUnavailable(const std::string& table);

private:
  /// A request of another gateway, held until there are changes or a more recent contact.
  struct WaitingRequest {
    std::string table;
    std::uint64_t after = 0;
    TimePoint since{};
    TimePoint until{};
    std::shared_ptr<http::ResponseWriter> writer;
    bool finished = false;  ///< Responded to, or the client disconnected.
  };

  TimePoint now() const { return clock_.now(); }
  void serve(const http::Request& request, const std::shared_ptr<http::ResponseWriter>& writer);
  void respond(const WaitingRequest& waiting);
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
  ReaderSelector selector_;
  std::map<std::string, TableMirror> mirrors_;     ///< By table.
  std::set<std::string> platform_next_;            ///< Tables of readPlatformNext().
  std::map<std::string, ReadTarget> last_target_;  ///< Target of the last call, by table.
  std::set<std::string> unavailable_tables_;  ///< Tables whose own source was lost since the last contact.
  std::list<std::shared_ptr<WaitingRequest>> waiting_;
  boost::asio::any_io_executor executor_;
  boost::asio::steady_timer timer_;
  bool timer_armed_ = false;
  std::unique_ptr<http::Server> server_;
};

}  // namespace crankspur::gateway
