#include "operator/admin_fetch.h"

#include <boost/asio/io_context.hpp>

#include "http/client.h"

namespace crankspur {

std::vector<AdminResponse> fetchFromAll(const std::vector<std::string>& addresses, const std::string& target,
                                        Duration timeout) {
  boost::asio::io_context context(1);
  const std::unique_ptr<http::Client> client = http::makeClient(context.get_executor());
  std::vector<AdminResponse> responses(addresses.size());
  std::size_t pending = addresses.size();
  http::ExchangeOptions options;
  options.connect_timeout = timeout;
  options.idle_timeout = timeout;
  options.may_be_repeated = true;
  for (std::size_t index = 0; index < addresses.size(); ++index) {
    responses[index].address = addresses[index];
    http::Request request;
    request.target = target;
    http::ExchangeCallbacks callbacks;
    callbacks.on_done = [&, index](std::error_code error, http::SendState, http::Response response) {
      if (!error) {
        responses[index].response = std::move(response);
      }
      if (--pending == 0) {
        context.stop();
      }
    };
    client->start(addresses[index], std::move(request), std::move(callbacks), options);
  }
  if (pending > 0) {
    context.run();
  }
  return responses;
}

}  // namespace crankspur
