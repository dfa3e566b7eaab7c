#pragma once
/// @file Blocking interface to the platform for sequential commands.

#include <string>

#include "base/time.h"
#include "object_store/object_client.h"
#include "table_service/table_client.h"

namespace crankspur {

/// The platform services that operators' commands use.
class PlatformPort {
public:
  virtual ~PlatformPort() = default;
  virtual ReadResult readRow(const std::string& key) = 0;
  virtual TransactionResult compareAndSet(const std::string& key, std::uint64_t expected_version,
                                          const std::string& value) = 0;
  virtual PutObjectResult putObject(const std::string& key, const std::string& body) = 0;
  /// Blocks for a time before a call is retried.
  virtual void sleepFor(Duration duration) = 0;
};

/// @param address "IP:port" of the platform.
std::unique_ptr<PlatformPort> makeHttpPlatformPort(const std::string& address);

}  // namespace crankspur
