#include "settings/toml_reader.h"

#define TOML_HEADER_ONLY 0
#define TOML_SHARED_LIB 1
#include <fmt/format.h>
#include <toml++/toml.h>

#include <fstream>
#include <set>
#include <sstream>

namespace crankspur {

namespace {

/// Collects the problems of one document.
struct ProblemSink {
  std::string file;
  std::vector<SettingsProblem>& problems;

  void add(const toml::source_position& position, const std::string& key, const std::string& reason) const {
    problems.push_back({file, position.line, position.column, key, reason});
  }
};

/// State shared by all tables of one document.
struct Document {
  toml::table root;
  ProblemSink sink;
};

/// A table of a parsed document. A null table represents an absent one.
class DocumentTable : public TomlTable {
public:
  DocumentTable(std::shared_ptr<Document> document, const toml::table* table, std::string path,
                toml::source_position position)
      : document_(std::move(document)), table_(table), path_(std::move(path)), position_(position) {}

  std::string requireString(const std::string& key) override {
    if (!requirePresent(key)) {
      return {};
    }
    return getString(key, {});
  }

  std::string getString(const std::string& key, std::string fallback) override {
    const toml::node* node = request(key);
    if (node == nullptr) {
      return fallback;
    }
    const toml::value<std::string>* text = node->as_string();
    if (text == nullptr) {
      report(key, "must be a string");
      return fallback;
    }
    return text->get();
  }

  std::int64_t requireInteger(const std::string& key, Range<std::int64_t> range) override {
    if (!requirePresent(key)) {
      return range.min;
    }
    return getInteger(key, range.min, range);
  }

  std::int64_t getInteger(const std::string& key, std::int64_t fallback, Range<std::int64_t> range) override {
    const toml::node* node = request(key);
    if (node == nullptr) {
      return fallback;
    }
    const toml::value<std::int64_t>* number = node->as_integer();
    if (number == nullptr) {
      report(key, "must be an integer");
      return fallback;
    }
    return checkRange(key, number->get(), fallback, range);
  }

  double getNumber(const std::string& key, double fallback, Range<double> range) override {
    const toml::node* node = request(key);
    if (node == nullptr) {
      return fallback;
    }
    if (!node->is_number()) {
      report(key, "must be a number");
      return fallback;
    }
    return checkRange(key, node->value<double>().value_or(fallback), fallback, range);
  }

  bool getBool(const std::string& key, bool fallback) override {
    const toml::node* node = request(key);
    if (node == nullptr) {
      return fallback;
    }
    const toml::value<bool>* flag = node->as_boolean();
    if (flag == nullptr) {
      report(key, "must be true or false");
      return fallback;
    }
    return flag->get();
  }

  std::vector<std::string> getStrings(const std::string& key) override {
    const toml::node* node = request(key);
    if (node == nullptr) {
      return {};
    }
    const toml::array* array = node->as_array();
    if (array == nullptr) {
      report(key, "must be an array of strings");
      return {};
    }
    std::vector<std::string> strings;
    for (std::size_t index = 0; index < array->size(); ++index) {
      const toml::value<std::string>* text = array->get(index)->as_string();
      if (text == nullptr) {
        reportElement(key, index, *array->get(index), "must be a string");
        continue;
      }
      strings.push_back(text->get());
    }
    return strings;
  }

  std::shared_ptr<TomlTable> getTable(const std::string& key) override {
    const toml::node* node = request(key);
    if (node == nullptr) {
      return addChild(nullptr, pathOf(key), position_);
    }
    if (!node->is_table()) {
      report(key, "must be a table");
      return addChild(nullptr, pathOf(key), node->source().begin);
    }
    return addChild(node->as_table(), pathOf(key), node->source().begin);
  }

  std::vector<std::shared_ptr<TomlTable>> getTables(const std::string& key) override {
    const toml::node* node = request(key);
    if (node == nullptr) {
      return {};
    }
    const toml::array* array = node->as_array();
    if (array == nullptr) {
      report(key, "must be an array of tables");
      return {};
    }
    std::vector<std::shared_ptr<TomlTable>> tables;
    for (std::size_t index = 0; index < array->size(); ++index) {
      const toml::node& element = *array->get(index);
      if (!element.is_table()) {
        reportElement(key, index, element, "must be a table");
        continue;
      }
      const std::string path = fmt::format("{}[{}]", pathOf(key), index);
      tables.push_back(addChild(element.as_table(), path, element.source().begin));
    }
    return tables;
  }

  void report(const std::string& key, const std::string& reason) override {
    const toml::node* node = find(key);
    document_->sink.add(node == nullptr ? position_ : node->source().begin, pathOf(key), reason);
  }

  bool has(const std::string& key) const override { return find(key) != nullptr; }

  void reportUnknownKeys() override {
    if (!unknown_keys_reported_) {
      reportOwnUnknownKeys();
    }
    unknown_keys_reported_ = true;
    for (const std::shared_ptr<DocumentTable>& child : children_) {
      child->reportUnknownKeys();
    }
  }

private:
  const toml::node* find(const std::string& key) const {
    return table_ == nullptr ? nullptr : table_->get(key);
  }

  /// Finds a key and records that it has been requested.
  const toml::node* request(const std::string& key) {
    requested_keys_.insert(key);
    return find(key);
  }

  bool requirePresent(const std::string& key) {
    if (request(key) != nullptr) {
      return true;
    }
    report(key, "is missing");
    return false;
  }

  template <typename Number>
  Number checkRange(const std::string& key, Number number, Number fallback, Range<Number> range) {
    const bool in_range = number >= range.min && number <= range.max;  // Also false for NaN.
    if (in_range) {
      return number;
    }
    report(key, fmt::format("must be from {} to {}", range.min, range.max));
    return fallback;
  }

  void reportElement(const std::string& key, std::size_t index, const toml::node& element,
                     const std::string& reason) {
    document_->sink.add(element.source().begin, fmt::format("{}[{}]", pathOf(key), index), reason);
  }

  void reportOwnUnknownKeys() {
    if (table_ == nullptr) {
      return;
    }
    for (const auto& [key, node] : *table_) {
      const std::string name(key.str());
      if (requested_keys_.count(name) == 0) {
        document_->sink.add(key.source().begin, pathOf(name), "is not a known key");
      }
    }
  }

  std::shared_ptr<DocumentTable> addChild(const toml::table* table, std::string path,
                                          toml::source_position position) {
    children_.push_back(std::make_shared<DocumentTable>(document_, table, std::move(path), position));
    return children_.back();
  }

  std::string pathOf(const std::string& key) const { return path_.empty() ? key : path_ + "." + key; }

  std::shared_ptr<Document> document_;
  const toml::table* table_;
  std::string path_;
  toml::source_position position_;
  std::set<std::string> requested_keys_;
  std::vector<std::shared_ptr<DocumentTable>> children_;
  bool unknown_keys_reported_ = false;
};

}  // namespace

std::string SettingsProblem::toString() const {
  const std::string position = line == 0 ? file : fmt::format("{}:{}:{}", file, line, column);
  return key.empty() ? fmt::format("{}: {}", position, reason)
                     : fmt::format("{}: {}: {}", position, key, reason);
}

std::shared_ptr<TomlTable> parseToml(std::string_view text, const std::string& file,
                                     std::vector<SettingsProblem>& problems) {
  const ProblemSink sink{file, problems};
  try {
    auto document = std::make_shared<Document>(Document{toml::parse(text), sink});
    const toml::table* root = &document->root;
    return std::make_shared<DocumentTable>(std::move(document), root, "", toml::source_position{1, 1});
  } catch (const toml::parse_error& error) {
    sink.add(error.source().begin, "", std::string(error.description()));
    return nullptr;
  }
}

std::optional<std::string> readFile(const std::string& path) {
  std::ifstream stream(path, std::ios::binary);
  if (!stream) {
    return std::nullopt;
  }
  std::stringstream content;
  content << stream.rdbuf();
  if (stream.bad() || content.bad()) {
    return std::nullopt;
  }
  return content.str();
}

}  // namespace crankspur
