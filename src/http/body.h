#pragma once
/// @file Body of a request: immutable bytes that all copies share, so that a request that is kept for another
/// attempt, sent and relayed holds its body once.

#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "base/byte_budget.h"

namespace crankspur::http {

/// See the file comment. Converts from and to strings.
class Body {
public:
  Body() = default;
  Body(std::string text) : Body(std::move(text), {}) {}
  Body(const char* text) : Body(std::string(text)) {}
  /// @param held released when the last copy is destroyed.
  Body(std::string text, ByteReservation held)
      : shared_(std::make_shared<const Shared>(Shared{std::move(text), std::move(held)})) {}

  const std::string& text() const;
  operator const std::string&() const { return text(); }
  operator std::string_view() const { return text(); }
  std::size_t size() const { return text().size(); }
  bool empty() const { return text().empty(); }
  friend bool operator==(const Body& left, std::string_view right) { return left.text() == right; }

private:
  struct Shared {
    std::string text;
    ByteReservation held;
  };
  std::shared_ptr<const Shared> shared_;  ///< Null: empty.
};

inline const std::string& Body::text() const {
  static const std::string kEmpty;
  return shared_ == nullptr ? kEmpty : shared_->text;
}

}  // namespace crankspur::http
