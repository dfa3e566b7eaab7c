/// @file Guards against a splitter of responses that takes a bracket, comma or quote inside a string for one
/// outside, and so loses rows of a sound response or reads past the end of a damaged one.

#include "platform/row_splitter.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <catch2/catch.hpp>
#include <string>

#include "base/random.h"
#include "json/json_fields.h"

using namespace crankspur;
using namespace crankspur::platform;

namespace {

constexpr int kMaxDepth = 4;

/// Writes random JSON texts with insignificant whitespace, and strings that look like structure.
class JsonWriter {
public:
  explicit JsonWriter(std::uint64_t seed) : random_(seed) {}

  std::string body() {
    std::string text = space() + "{";
    for (std::uint64_t member = random_.uniform(0, 2); member > 0; --member) text += this->member() + ",";
    text += space() + "\"rows\"";
    text += space() + ":";
    text += space();
    text += array(kMaxDepth);
    for (std::uint64_t member = random_.uniform(0, 2); member > 0; --member) text += "," + this->member();
    text += space() + "}";
    return text + space();
  }

private:
  /// Names are unique: readers treat repeated names differently.
  std::string member() {
    std::string text = space() + "\"m" + std::to_string(++members_) + "\"";
    text += space() + ":";
    return text + value(kMaxDepth);
  }
  std::string space() {
    const std::size_t size = random_.uniform(0, 2);
    return std::string(size, random_.chance(0.5) ? ' ' : '\n');
  }

  std::string string() {
    static constexpr const char* kPieces[] = {
        "\\\"", "\\\\", "[", "]", "{", "}", ",", ":", "\\u005b", "\\\\\\\"", "\\\"rows\\\":[", "x"};
    std::string text = "\"";
    for (std::uint64_t piece = random_.uniform(0, 4); piece > 0; --piece) {
      text += kPieces[random_.uniform(0, std::size(kPieces) - 1)];
    }
    return text + "\"";
  }

  std::string array(int depth) {
    std::string text = "[";
    const std::uint64_t size = random_.uniform(0, 3);
    for (std::uint64_t index = 0; index < size; ++index) text += (index > 0 ? "," : "") + value(depth - 1);
    return text + space() + "]";
  }

  std::string object(int depth) {
    std::string text = "{";
    const std::uint64_t size = random_.uniform(0, 3);
    for (std::uint64_t index = 0; index < size; ++index) {
      const std::string name = index == 0 ? "rows" : "k" + std::to_string(index);
      text += (index > 0 ? ",\"" : "\"") + name + "\":" + value(depth - 1);
    }
    return text + space() + "}";
  }

  std::string value(int depth) {
    static constexpr const char* kScalars[] = {"0", "-1.5e3", "true", "null"};
    const std::uint64_t kind = random_.uniform(0, depth > 0 ? 3 : 1);
    std::string text = space();
    if (kind == 0) text += kScalars[random_.uniform(0, std::size(kScalars) - 1)];
    if (kind == 1) text += string();
    if (kind == 2) text += array(depth);
    if (kind == 3) text += object(depth);
    return text + space();
  }

  RandomSource random_;
  int members_ = 0;
};

/// @return the rows as a parser of the complete body reads them; nullptr if the body has no array of rows.
const boost::json::array* rowsOf(const std::optional<boost::json::object>& body) {
  return body ? arrayField(*body, "rows") : nullptr;
}

/// Parses each row, as the first member of an object, since a row may be any value.
boost::json::array parsedRows(const SplitBody& split) {
  boost::json::array rows;
  for (const std::string_view text : split.rows) {
    const auto row = parseJsonObject("{\"row\":" + std::string(text) + "}");
    REQUIRE(row);
    rows.push_back(row->at("row"));
  }
  return rows;
}

}  // namespace

TEST_CASE("the rows of a split body are those that a parser of the complete body reads", "[odd_rows]") {
  for (std::uint64_t seed = 1; seed <= 5'000; ++seed) {
    const std::string text = JsonWriter(seed).body();
    CAPTURE(seed, text);
    const auto body = parseJsonObject(text);
    REQUIRE(rowsOf(body) != nullptr);
    const SplitBody split = splitRows(text);
    CHECK(parsedRows(split) == *rowsOf(body));
    boost::json::object rest = *body;
    rest["rows"] = boost::json::array();
    CHECK(parseJsonObject(split.envelope) == rest);
  }
}

TEST_CASE("a body that is cut short or altered is split without reading past its end", "[odd_rows]") {
  RandomSource random(5);
  for (std::uint64_t seed = 1; seed <= 5'000; ++seed) {
    std::string text = JsonWriter(seed).body();
    text.resize(random.uniform(0, text.size()));
    if (!text.empty()) text[random.uniform(0, text.size() - 1)] = "[]{},:\"\\x"[random.uniform(0, 8)];
    text.shrink_to_fit();
    const SplitBody split = splitRows(text);
    std::size_t bytes = split.envelope.size();
    for (const std::string_view row : split.rows) bytes += row.size();
    CHECK(bytes <= text.size());
  }
}
