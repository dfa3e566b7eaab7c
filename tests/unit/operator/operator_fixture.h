#pragma once
/// @file Test doubles for operators' commands: a PlatformModel on a virtual clock and a temporary directory.

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>

#include "operator/bundle_commands.h"
#include "operator/key_files.h"
#include "operator/roll.h"
#include "standins/platform/platform_model.h"

namespace crankspur {

/// Platform port on a PlatformModel.
class FakePlatformPort : public PlatformPort {
public:
  ReadResult readRow(const std::string& key) override {
    return convert<ReadResult, TableRow>(model.call(standin::ReadRow{key}, now));
  }

  TransactionResult compareAndSet(const std::string& key, std::uint64_t version,
                                  const std::string& value) override {
    const TableTransaction transaction{{{key, version}}, {{key, value}}};
    const standin::PlatformCallOutcome reply = model.call(transaction, now);
    if (after_write) {
      after_write();
    }
    return convert<TransactionResult, TransactionCommitted, TransactionConflict>(reply);
  }

  PutObjectResult putObject(const std::string& key, const std::string& body) override {
    const standin::PlatformCallOutcome reply = model.call(standin::PutObject{key, body}, now);
    if (!reply.lost && std::holds_alternative<standin::ObjectStored>(reply.response)) {
      return ObjectWritten{};
    }
    return ServiceUnavailable{reply.lost, Duration{0}};
  }

  void sleepFor(Duration duration) override { now += duration; }

  standin::PlatformModel model{{}, 1};
  TimePoint now{std::chrono::seconds(1)};
  std::function<void()> after_write;  ///< Runs after each compare-and-set, before its result is returned.

private:
  template <typename Result, typename... Responses>
  static Result convert(const standin::PlatformCallOutcome& reply) {
    Result result = ServiceUnavailable{reply.lost, Duration{0}};
    if (reply.lost) {
      return result;
    }
    (assign<Result, Responses>(reply, result), ...);
    return result;
  }

  template <typename Result, typename Response>
  static void assign(const standin::PlatformCallOutcome& reply, Result& result) {
    if (const auto* response = std::get_if<Response>(&reply.response)) {
      result = *response;
    }
  }
};

/// A directory that is removed when the test ends.
struct TemporaryDirectory {
  TemporaryDirectory() {
    std::string pattern = (std::filesystem::temp_directory_path() / "crankspur_operator_XXXXXX").string();
    REQUIRE(::mkdtemp(pattern.data()) != nullptr);
    path = pattern;
  }
  ~TemporaryDirectory() { std::filesystem::remove_all(path); }
  std::string file(const std::string& name) const { return (path / name).string(); }
  std::filesystem::path path;
};

}  // namespace crankspur
