#pragma once
/// @file Client of the object store. Objects that crankspur keeps never change once written, so reads of one
/// key at the same time share one call. Callbacks come on the executor's thread, never from inside the call.

#include <functional>
#include <memory>
#include <string>
#include <variant>

#include "platform_service/service_caller.h"

namespace crankspur {

/// There is no object with the key.
struct ObjectAbsent {};
/// The object's content.
struct ObjectBody {
  std::string bytes;
};
/// The object is stored.
struct ObjectWritten {};

using GetObjectResult = std::variant<ObjectBody, ObjectAbsent, ServiceUnavailable, ServiceRateLimited>;
using PutObjectResult = std::variant<ObjectWritten, ServiceUnavailable, ServiceRateLimited>;

/// Calls the object store. Keys consist of letters, digits, '-', '.', '_' and '/'. Destruction drops calls
/// without a callback.
class ObjectClient {
public:
  virtual ~ObjectClient() = default;
  virtual void get(const std::string& key, std::function<void(const GetObjectResult&)> done) = 0;
  /// Writing the same object again does no harm, so a lost answer is resolved by writing again.
  virtual void put(const std::string& key, std::string body, std::function<void(PutObjectResult)> done) = 0;
};

/// @param client and `clock` must outlive the object client.
std::unique_ptr<ObjectClient> makeObjectClient(boost::asio::any_io_executor executor, http::Client& client,
                                               const Clock& clock, ServiceOptions options);

}  // namespace crankspur
