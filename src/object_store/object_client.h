#pragma once
/// @file Client of the object store. Stored objects are immutable, so concurrent reads of one key share one
/// call. Callbacks run on the executor's thread, never from inside the call.

#include <functional>
#include <memory>
#include <string>
#include <variant>

#include "platform_service/service_caller.h"

namespace crankspur {

/// No object has the key.
struct ObjectNotFound {};
/// Content of the object.
struct ObjectBody {
  std::string bytes;
};
/// The object has been stored.
struct ObjectWritten {};

using GetObjectResult = std::variant<ObjectBody, ObjectNotFound, ServiceUnavailable, ServiceRateLimited>;
using PutObjectResult = std::variant<ObjectWritten, ServiceUnavailable, ServiceRateLimited>;

/// Calls the object store. Keys consist of letters, digits, '-', '.', '_' and '/'. Destruction cancels
/// pending calls without running their callbacks.
class ObjectClient {
public:
  virtual ~ObjectClient() = default;
  virtual void get(const std::string& key, std::function<void(const GetObjectResult&)> done) = 0;
  /// Idempotent: after a lost response, write the same object again.
  virtual void put(const std::string& key, std::string body, std::function<void(PutObjectResult)> done) = 0;
};

/// @param client and `clock` must outlive the object client.
std::unique_ptr<ObjectClient> makeObjectClient(boost::asio::any_io_executor executor, http::Client& client,
                                               const Clock& clock, ServiceOptions options);

}  // namespace crankspur
