#include "bundle/line_diff.h"

#include <algorithm>
#include <cstdint>

#include "base/hash.h"

namespace crankspur {

namespace {

using LineHashes = std::vector<std::uint64_t>;

LineHashes hashLines(const Lines& lines) {
  LineHashes hashes;
  hashes.reserve(lines.size());
  for (const std::string_view line : lines) {
    hashes.push_back(hashBytes(line));
  }
  return hashes;
}

/// The range of both sequences between their common prefix and their common suffix.
struct DifferingRange {
  std::size_t begin = 0;
  std::size_t before_end = 0;
  std::size_t after_end = 0;
};

DifferingRange findDifferingRange(const Lines& before, const Lines& after) {
  const auto first = std::mismatch(before.begin(), before.end(), after.begin(), after.end());
  const auto begin = static_cast<std::size_t>(first.first - before.begin());
  const auto last = std::mismatch(before.rbegin(), before.rend() - static_cast<std::ptrdiff_t>(begin),
                                  after.rbegin(), after.rend() - static_cast<std::ptrdiff_t>(begin));
  const auto common_end = static_cast<std::size_t>(last.first - before.rbegin());
  return {begin, before.size() - common_end, after.size() - common_end};
}

/// Merges consecutive keep, drop and insert operations into LineEdits.
class ScriptBuilder {
public:
  void keep(std::size_t count) {
    if (count == 0) {
      return;
    }
    if (edits_.empty() || edits_.back().drop > 0 || edits_.back().insert > 0) {
      edits_.emplace_back();
    }
    edits_.back().keep += count;
  }
  void drop(std::size_t count) { lastEdit().drop += count; }
  void insert(std::size_t count) { lastEdit().insert += count; }
  std::vector<LineEdit> build() { return std::move(edits_); }

private:
  LineEdit& lastEdit() {
    if (edits_.empty()) {
      edits_.emplace_back();
    }
    return edits_.back();
  }

  std::vector<LineEdit> edits_;
};

/// Myers' greedy algorithm. A point (x, y) means that x lines of the old and y lines of the new text have
/// been consumed; it lies on diagonal x - y. For each number of edits the furthest x on each diagonal is
/// stored.
class MyersDiff {
public:
  MyersDiff(const LineHashes& before, const LineHashes& after) : before_(before), after_(after) {}

  /// @return whether the end was reached with at most the given number of edits.
  bool search(std::size_t max_edits) {
    for (std::size_t edits = 0; edits <= max_edits; ++edits) {
      if (advance(static_cast<Position>(edits))) {
        return true;
      }
    }
    return false;
  }

  /// Appends the edit script that search() found.
  void appendScript(ScriptBuilder& script) const {
    std::vector<Step> steps;
    Position x = oldSize();
    Position y = newSize();
    for (Position edits = static_cast<Position>(furthest_.size()) - 1; edits > 0; --edits) {
      const Entry entry = bestEntry(x - y, edits);
      steps.push_back({entry.inserts, x - entry.x});
      const Position diagonal = x - y + (entry.inserts ? 1 : -1);
      x = entry.inserts ? entry.x : entry.x - 1;
      y = x - diagonal;
    }
    script.keep(static_cast<std::size_t>(x));
    for (auto step = steps.rbegin(); step != steps.rend(); ++step) {
      step->inserts ? script.insert(1) : script.drop(1);
      script.keep(static_cast<std::size_t>(step->kept));
    }
  }

private:
  using Position = std::int64_t;
  static constexpr Position kUnreachable = -1;

  /// The edit by which a diagonal is entered (insert or drop) and the x it is entered at.
  struct Entry {
    bool inserts = false;
    Position x = kUnreachable;
  };
  /// An edit and the number of lines kept after it.
  struct Step {
    bool inserts = false;
    Position kept = 0;
  };

  Position oldSize() const { return static_cast<Position>(before_.size()); }
  Position newSize() const { return static_cast<Position>(after_.size()); }

  /// @return the furthest x on a diagonal after the given number of edits.
  Position furthest(Position diagonal, Position edits) const {
    if (edits < 0 || diagonal < -edits || diagonal > edits) {
      return kUnreachable;
    }
    return furthest_[static_cast<std::size_t>(edits)][static_cast<std::size_t>((diagonal + edits) / 2)];
  }

  Entry bestEntry(Position diagonal, Position edits) const {
    Position by_insert = furthest(diagonal + 1, edits - 1);
    if (by_insert != kUnreachable && by_insert - diagonal > newSize()) {
      by_insert = kUnreachable;
    }
    Position by_drop = furthest(diagonal - 1, edits - 1);
    if (by_drop != kUnreachable) {
      by_drop = by_drop < oldSize() ? by_drop + 1 : kUnreachable;
    }
    return by_insert >= by_drop ? Entry{true, by_insert} : Entry{false, by_drop};
  }

  /// Advances along a diagonal while the lines are equal.
  /// @return the x at the first difference.
  Position skipEqualLines(Position x, Position diagonal) const {
    while (x < oldSize() && x - diagonal < newSize() &&
           before_[static_cast<std::size_t>(x)] == after_[static_cast<std::size_t>(x - diagonal)]) {
      ++x;
    }
    return x;
  }

  /// Computes the furthest points for the given number of edits.
  /// @return whether the end was reached.
  bool advance(Position edits) {
    std::vector<Position> frontier;
    frontier.reserve(static_cast<std::size_t>(edits + 1));
    for (Position diagonal = -edits; diagonal <= edits; diagonal += 2) {
      const Position start = edits == 0 ? 0 : bestEntry(diagonal, edits).x;
      frontier.push_back(start == kUnreachable ? kUnreachable : skipEqualLines(start, diagonal));
    }
    furthest_.push_back(std::move(frontier));
    return furthest(oldSize() - newSize(), edits) == oldSize();
  }

  const LineHashes& before_;
  const LineHashes& after_;
  std::vector<std::vector<Position>> furthest_;
};

Lines slice(const Lines& lines, std::size_t begin, std::size_t end) {
  return Lines(lines.begin() + static_cast<std::ptrdiff_t>(begin),
               lines.begin() + static_cast<std::ptrdiff_t>(end));
}

}  // namespace

Lines splitLines(std::string_view text) {
  Lines lines;
  while (!text.empty()) {
    const std::size_t line_feed = text.find('\n');
    const std::size_t size = line_feed == std::string_view::npos ? text.size() : line_feed + 1;
    lines.push_back(text.substr(0, size));
    text.remove_prefix(size);
  }
  return lines;
}

std::optional<std::vector<LineEdit>> diffLines(const Lines& before, const Lines& after,
                                               std::size_t max_edits) {
  const DifferingRange range = findDifferingRange(before, after);
  const LineHashes old_hashes = hashLines(slice(before, range.begin, range.before_end));
  const LineHashes new_hashes = hashLines(slice(after, range.begin, range.after_end));
  ScriptBuilder script;
  script.keep(range.begin);
  if (old_hashes.empty() || new_hashes.empty()) {
    script.drop(old_hashes.size());
    script.insert(new_hashes.size());
  } else {
    MyersDiff diff(old_hashes, new_hashes);
    if (!diff.search(max_edits)) {
      return std::nullopt;
    }
    diff.appendScript(script);
  }
  script.keep(before.size() - range.before_end);
  return script.build();
}

}  // namespace crankspur
