#include "table_service/table_codec.h"

#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

#include "json/json_fields.h"

namespace crankspur {

namespace json = boost::json;

namespace {

json::object toJson(const TableRow& row) {
  return {{"key", row.key}, {"version", row.version}, {"value", row.value}};
}

std::optional<TableRow> rowFromJson(const json::object& object) {
  const auto key = stringField(object, "key");
  const auto version = unsignedField(object, "version");
  const auto value = stringField(object, "value");
  if (!key || !version || !value) {
    return std::nullopt;
  }
  return TableRow{*key, *version, *value};
}

std::optional<RowCondition> conditionFromJson(const json::object& object) {
  const auto key = stringField(object, "key");
  const auto version = unsignedField(object, "version");
  if (!key || !version) {
    return std::nullopt;
  }
  return RowCondition{*key, *version};
}

std::optional<RowWrite> writeFromJson(const json::object& object) {
  const auto key = stringField(object, "key");
  const auto value = stringField(object, "value");
  if (!key || !value) {
    return std::nullopt;
  }
  return RowWrite{*key, *value};
}

/// Decodes each object of an array; empty when any of them is invalid.
template <typename Element, typename Decode>
std::optional<std::vector<Element>> decodeAll(const json::object& object, std::string_view name,
                                              Decode decode) {
  const auto objects = objectsField(object, name);
  if (!objects) {
    return std::nullopt;
  }
  std::vector<Element> elements;
  for (const json::object* element_object : *objects) {
    std::optional<Element> element = decode(*element_object);
    if (!element) {
      return std::nullopt;
    }
    elements.push_back(std::move(*element));
  }
  return elements;
}

}  // namespace

std::string encodeRow(const TableRow& row) {
  return json::serialize(toJson(row));
}

std::optional<TableRow> decodeRow(std::string_view text) {
  const auto object = parseJsonObject(text);
  return object ? rowFromJson(*object) : std::nullopt;
}

std::string encodeTransaction(const TableTransaction& transaction) {
  json::array conditions;
  for (const RowCondition& condition : transaction.conditions) {
    conditions.push_back(json::object{{"key", condition.key}, {"version", condition.version}});
  }
  json::array writes;
  for (const RowWrite& write : transaction.writes) {
    writes.push_back(json::object{{"key", write.key}, {"value", write.value}});
  }
  return json::serialize(json::object{{"conditions", std::move(conditions)}, {"writes", std::move(writes)}});
}

std::optional<TableTransaction> decodeTransaction(std::string_view text) {
  const auto object = parseJsonObject(text);
  if (!object) {
    return std::nullopt;
  }
  auto conditions = decodeAll<RowCondition>(*object, "conditions", conditionFromJson);
  auto writes = decodeAll<RowWrite>(*object, "writes", writeFromJson);
  if (!conditions || !writes) {
    return std::nullopt;
  }
  return TableTransaction{std::move(*conditions), std::move(*writes)};
}

std::string encodeCommitted(const TransactionCommitted& committed) {
  json::object versions;
  for (const RowVersion& row : committed.versions) {
    versions[row.key] = row.version;
  }
  return json::serialize(json::object{{"committed", true}, {"versions", std::move(versions)}});
}

std::optional<TransactionCommitted> decodeCommitted(std::string_view text) {
  const auto object = parseJsonObject(text);
  if (!object || boolField(*object, "committed") != true) {
    return std::nullopt;
  }
  const json::value* versions = object->if_contains("versions");
  if (versions == nullptr || !versions->is_object()) {
    return std::nullopt;
  }
  TransactionCommitted committed;
  for (const auto& pair : versions->get_object()) {
    const std::string key(pair.key().data(), pair.key().size());
    const auto version = unsignedField(versions->get_object(), key);
    if (!version) {
      return std::nullopt;
    }
    committed.versions.push_back({key, *version});
  }
  return committed;
}

std::string encodeConflict(const TransactionConflict& conflict) {
  json::array rows;
  for (const TableRow& row : conflict.rows) {
    rows.push_back(toJson(row));
  }
  return json::serialize(json::object{{"committed", false}, {"rows", std::move(rows)}});
}

std::optional<TransactionConflict> decodeConflict(std::string_view text) {
  const auto object = parseJsonObject(text);
  if (!object || boolField(*object, "committed") != false) {
    return std::nullopt;
  }
  auto rows = decodeAll<TableRow>(*object, "rows", rowFromJson);
  if (!rows) {
    return std::nullopt;
  }
  return TransactionConflict{std::move(*rows)};
}

}  // namespace crankspur
