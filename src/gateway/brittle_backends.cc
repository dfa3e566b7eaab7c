#include "gateway/brittle_backends.h"

#include <algorithm>

namespace crankspur::gateway {
namespace {

/// A back end states it in each response. It counts as brittle for this long after the last one, since it may
/// get no requests meanwhile.
constexpr Duration kStatementLifetime = std::chrono::seconds(10);

}  // namespace

bool BrittleBackends::isCurrent(const Statement& statement, TimePoint now) {
  return now - statement.stated_at <= kStatementLifetime;
}

bool BrittleBackends::onResponse(const std::string& pool, std::uint64_t incarnation,
                                 const BrittleStatement& statement, TimePoint now) {
  if (!statement.brittle && pools_.empty()) return false;
  Statements& statements = pools_[pool];
  std::erase_if(statements, [now](const auto& item) { return !isCurrent(item.second, now); });
  const auto known = statements.find(incarnation);
  const bool was_brittle = known != statements.end();
  bool changed = false;
  if (statement.brittle) {
    changed = !was_brittle || known->second.tolerated_rejections != statement.tolerated_rejections;
    statements[incarnation] = {statement.tolerated_rejections, now};
  } else if (was_brittle && statement.success && statement.sent_at > known->second.stated_at) {
    changed = true;
    statements.erase(known);
  }
  if (statements.empty()) pools_.erase(pool);
  return changed;
}

bool BrittleBackends::isBrittle(std::string_view pool, TimePoint now) const {
  const auto found = pools_.find(pool);
  if (found == pools_.end()) return false;
  return std::any_of(found->second.begin(), found->second.end(),
                     [now](const auto& item) { return isCurrent(item.second, now); });
}

}  // namespace crankspur::gateway
