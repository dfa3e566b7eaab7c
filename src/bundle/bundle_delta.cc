#include "bundle/bundle_delta.h"

#include <cstdint>

#include "base/hash.h"
#include "bundle/bundle.h"
#include "bundle/line_diff.h"

namespace crankspur {

namespace {

constexpr unsigned kVarintBits = 7;
constexpr unsigned kVarintContinuation = 0x80;
constexpr unsigned kHashBytes = 8;

void appendVarint(std::string& bytes, std::uint64_t number) {
  while (number >= kVarintContinuation) {
    bytes += static_cast<char>((number & (kVarintContinuation - 1)) | kVarintContinuation);
    number >>= kVarintBits;
  }
  bytes += static_cast<char>(number);
}

/// Appends the hash of the base document, with which each delta starts; little-endian.
void appendHash(std::string& bytes, std::uint64_t hash) {
  for (unsigned index = 0; index < kHashBytes; ++index) {
    bytes += static_cast<char>(hash >> (8 * index));
  }
}

/// Sequential reader of a delta. After a failed read the reader must not be used.
class DeltaReader {
public:
  explicit DeltaReader(std::string_view bytes) : bytes_(bytes) {}

  bool atEnd() const { return bytes_.empty(); }

  std::optional<std::uint64_t> readVarint() {
    std::uint64_t number = 0;
    for (unsigned shift = 0; shift < 64 && !bytes_.empty(); shift += kVarintBits) {
      const auto byte = static_cast<unsigned char>(bytes_.front());
      bytes_.remove_prefix(1);
      number |= static_cast<std::uint64_t>(byte & (kVarintContinuation - 1)) << shift;
      if ((byte & kVarintContinuation) == 0) {
        return number;
      }
    }
    return std::nullopt;
  }

  std::optional<std::string_view> readBytes(std::uint64_t count) {
    if (count > bytes_.size()) {
      return std::nullopt;
    }
    const std::string_view read = bytes_.substr(0, count);
    bytes_.remove_prefix(count);
    return read;
  }

private:
  std::string_view bytes_;
};

/// @return the text of lines [begin, begin + count).
std::string_view textOfLines(const Lines& lines, std::size_t begin, std::size_t count) {
  if (count == 0) {
    return {};
  }
  const std::string_view last = lines[begin + count - 1];
  const char* first = lines[begin].data();
  return {first, static_cast<std::size_t>(last.data() + last.size() - first)};
}

/// Applies the hunks of a delta in order.
class DeltaApplier {
public:
  DeltaApplier(const Lines& before, DeltaReader reader) : before_(before), reader_(reader) {}

  std::optional<std::string> run() {
    while (!reader_.atEnd()) {
      if (!applyHunk()) {
        return std::nullopt;
      }
    }
    if (next_line_ != before_.size()) {
      return std::nullopt;
    }
    return std::move(after_);
  }

private:
  bool applyHunk() {
    const auto keep = reader_.readVarint();
    const auto drop = reader_.readVarint();
    const auto insert = reader_.readVarint();
    if (!keep || !drop || !insert || *keep > before_.size() - next_line_ ||
        *drop > before_.size() - next_line_ - *keep) {
      return false;
    }
    const auto inserted = reader_.readBytes(*insert);
    if (!inserted) {
      return false;
    }
    after_ += textOfLines(before_, next_line_, *keep);
    after_ += *inserted;
    next_line_ += *keep + *drop;
    return after_.size() <= kMaxBundleBytes;
  }

  const Lines& before_;
  DeltaReader reader_;
  std::size_t next_line_ = 0;
  std::string after_;
};

}  // namespace

std::optional<std::string> makeDocumentDelta(std::string_view before, std::string_view after) {
  const Lines old_lines = splitLines(before);
  const Lines new_lines = splitLines(after);
  const auto edits = diffLines(old_lines, new_lines, kMaxDeltaEdits);
  if (!edits) {
    return std::nullopt;
  }
  std::string delta;
  appendHash(delta, hashBytes(before));
  std::size_t new_line = 0;
  for (const LineEdit& edit : *edits) {
    new_line += edit.keep;
    const std::string_view inserted = textOfLines(new_lines, new_line, edit.insert);
    new_line += edit.insert;
    appendVarint(delta, edit.keep);
    appendVarint(delta, edit.drop);
    appendVarint(delta, inserted.size());
    delta += inserted;
  }
  return delta;
}

std::optional<std::string> applyDocumentDelta(std::string_view before, std::string_view delta) {
  std::string expected_hash;
  appendHash(expected_hash, hashBytes(before));
  DeltaReader reader(delta);
  if (reader.readBytes(kHashBytes) != std::string_view(expected_hash)) {
    return std::nullopt;
  }
  const Lines lines = splitLines(before);
  return DeltaApplier(lines, reader).run();
}

}  // namespace crankspur
