#pragma once
/// @file Internal to this package: one connection of the HTTP client. Include it from .cc files only.

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <functional>
#include <memory>
#include <optional>

#include "http/client.h"

namespace crankspur::http {

/// A response body that goes to a callback at its arrival.
struct CallbackBody {
  using value_type = std::function<bool(std::string_view)>;  ///< Returns false to refuse the body.

  class reader {
  public:
    template <bool isRequest, typename Fields>
    reader(boost::beast::http::header<isRequest, Fields>&, value_type& consumer) : consumer_(consumer) {}
    void init(boost::optional<std::uint64_t> const&, boost::system::error_code& error) { error = {}; }
    template <typename Buffers>
    std::size_t put(const Buffers& buffers, boost::system::error_code& error) {
      error = {};
      std::size_t total = 0;
      for (const boost::asio::const_buffer buffer : boost::beast::buffers_range_ref(buffers)) {
        const std::string_view piece(static_cast<const char*>(buffer.data()), buffer.size());
        if (!consumer_(piece)) error = boost::beast::http::error::body_limit;
        total += buffer.size();
      }
      return total;
    }
    void finish(boost::system::error_code& error) { error = {}; }

  private:
    value_type& consumer_;
  };
};

/// What one exchange sends, and where its outcome goes.
struct ExchangeState {
  std::string address;
  Request request;
  ExchangeCallbacks callbacks;
  ExchangeOptions options;
  Response response;
  bool ended = false;  ///< Done or cancelled: no further callback.
};

/// One connection. A read is always pending, so that a closed idle connection is noticed.
class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
public:
  /// How an exchange ended on the connection.
  struct Outcome {
    std::error_code error;
    SendState state = SendState::NotSent;
    bool stale = false;  ///< The server closed a reused connection as the request was sent.
    std::optional<UnansweredExchange> unanswered;  ///< Set when the time for the first byte passed.
  };
  struct Owner {
    /// The exchange ended; a usable connection was made idle before.
    std::function<void(std::shared_ptr<ExchangeState>, Outcome)> on_end;
    std::function<void(std::shared_ptr<ClientConnection>)> on_idle;
    std::function<void(ClientConnection*)> on_closed;
    /// A connection that had served an exchange before began to answer the next one.
    std::function<void(ClientConnection*)> on_answered_again;
  };

  ClientConnection(const boost::asio::any_io_executor& executor, std::string address, Owner owner);

  const std::string& address() const { return address_; }
  /// Runs an exchange; connects first if need be.
  void run(std::shared_ptr<ExchangeState> exchange);
  /// Closes without calling the owner.
  void close();
  /// @return what is known of the exchange under way when no byte of its answer has come; empty: one has.
  std::optional<UnansweredExchange> unanswered() const;
  std::chrono::steady_clock::time_point heardAt() const { return heard_at_; }

private:
  using Parser = boost::beast::http::response_parser<CallbackBody>;
  enum class Phase { New, Connecting, Busy, Idle, Closed };

  void connect();
  void onConnected(boost::system::error_code error);
  void sendRequest();
  void resetParser();
  void read();
  void onRead(boost::system::error_code error, std::size_t bytes);
  void parse();
  bool consumeBody(std::string_view piece);
  void announceHeaders();
  void keepAliveFor(const Headers& headers);
  void complete(bool reusable);
  void fail(std::error_code error);
  void shut();
  void armTimer(Duration delay);
  void onTimer();
  bool firesLate();
  bool closedAsItWasSent(std::error_code error) const;

  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer timer_;
  std::string address_;
  Owner owner_;
  Phase phase_ = Phase::New;
  boost::beast::flat_buffer buffer_;
  std::optional<Parser> parser_;
  std::shared_ptr<ExchangeState> exchange_;
  std::string request_text_;
  bool reused_ = false;
  bool request_written_ = false;
  bool byte_sent_ = false;
  bool byte_received_ = false;
  bool headers_announced_ = false;
  bool fired_late_ = false;  ///< The timer did, in this exchange.
  bool discarding_ = false;  ///< The answer under way belongs to an earlier request.
  Duration idle_lifetime_;   ///< As the server states it.
  std::chrono::steady_clock::time_point last_byte_;
  std::chrono::steady_clock::time_point heard_at_{};   ///< When bytes came last; set once connected.
  std::chrono::steady_clock::time_point opened_at_{};  ///< Set once connected.
  std::chrono::steady_clock::time_point began_at_{};   ///< Of the exchange under way.
};

}  // namespace crankspur::http
