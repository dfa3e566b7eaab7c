#pragma once
/// @file Validating reader of TOML documents. Reports every problem with file, line, column, key and reason.

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace crankspur {

/// One problem in a document.
struct SettingsProblem {
  std::string file;
  std::uint32_t line = 0;    ///< From 1; 0 when the position is unknown.
  std::uint32_t column = 0;  ///< From 1; 0 when the position is unknown.
  std::string key;           ///< Dotted path, for example "tenants[2].weight".
  std::string reason;
  bool tolerated = false;  ///< The default is used in its place; the document is usable.

  /// @return "file:line:column: key: reason".
  std::string toString() const;
};

/// Inclusive bounds of a number.
template <typename Number>
struct Range {
  Number min;
  Number max;
};

/// One table of a document. A getter that finds an invalid value records a problem and returns the fallback,
/// so that one pass finds every problem. A key that no getter has requested is unknown; reportUnknownKeys()
/// reports it.
class TomlTable {
public:
  virtual ~TomlTable() = default;
  virtual std::string requireString(const std::string& key) = 0;
  virtual std::string getString(const std::string& key, std::string fallback) = 0;
  virtual std::int64_t requireInteger(const std::string& key, Range<std::int64_t> range) = 0;
  virtual std::int64_t getInteger(const std::string& key, std::int64_t fallback,
                                  Range<std::int64_t> range) = 0;
  virtual double getNumber(const std::string& key, double fallback, Range<double> range) = 0;
  virtual bool getBool(const std::string& key, bool fallback) = 0;
  virtual std::vector<std::string> getStrings(const std::string& key) = 0;
  /// @return the sub-table, or an empty table when the key is absent.
  virtual std::shared_ptr<TomlTable> getTable(const std::string& key) = 0;
  /// @return the tables of an array of tables; empty when the key is absent.
  virtual std::vector<std::shared_ptr<TomlTable>> getTables(const std::string& key) = 0;
  /// Records a problem that the caller found, at the position of `key`.
  virtual void report(const std::string& key, const std::string& reason) = 0;
  /// @return whether the key is present.
  virtual bool has(const std::string& key) const = 0;
  /// Reports every key of this table, and of all tables obtained from it, that no getter has requested.
  virtual void reportUnknownKeys() = 0;
};

/// Parses `text`.
/// @return the root table, or null after recording a syntax error.
/// @param file name reported in problems.
/// @param problems receives every problem found now and by later getters; it must outlive the table.
std::shared_ptr<TomlTable> parseToml(std::string_view text, const std::string& file,
                                     std::vector<SettingsProblem>& problems);

/// @return the content of the file, or empty when it cannot be read.
std::optional<std::string> readFile(const std::string& path);

}  // namespace crankspur
