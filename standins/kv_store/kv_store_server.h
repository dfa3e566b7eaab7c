#pragma once
/// @file Serves a KvStoreModel over HTTP; see docs/ARCHITECTURE.md "KV-cache store". POST /v1/kv/export is
/// an alias of /v1/kv/get, so that engines import from stores and from engines in the same way.

#include <boost/asio/any_io_executor.hpp>
#include <memory>
#include <string>

#include "http/server.h"
#include "standins/kv_store/kv_store_model.h"

namespace crankspur::standin {

/// @return the response to one request.
http::Response handleKvStoreRequest(const http::Request& request, KvStoreModel& model);

/// Listens on "IP:port"; `model` must outlive the server.
/// @return the server, or nullptr with `error` set.
std::unique_ptr<http::Server> serveKvStore(const boost::asio::any_io_executor& executor,
                                           const std::string& address, KvStoreModel& model,
                                           std::error_code& error);

}  // namespace crankspur::standin
