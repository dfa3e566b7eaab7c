#include "membership/dissemination_queue.h"

#include <algorithm>

namespace crankspur {

std::vector<std::string> DisseminationQueue::take(std::size_t count, std::uint32_t limit) {
  using Entry = std::map<std::string, std::uint32_t>::iterator;
  std::vector<Entry> entries;
  entries.reserve(sent_.size());
  for (auto entry = sent_.begin(); entry != sent_.end(); ++entry) entries.push_back(entry);
  const std::size_t taken = std::min(count, entries.size());
  const auto sent_less = [](const Entry& left, const Entry& right) { return left->second < right->second; };
  std::partial_sort(entries.begin(), entries.begin() + static_cast<std::ptrdiff_t>(taken), entries.end(),
                    sent_less);
  std::vector<std::string> names;
  for (std::size_t index = 0; index < taken; ++index) {
    const Entry entry = entries[index];
    names.push_back(entry->first);
    if (++entry->second >= limit) sent_.erase(entry);
  }
  return names;
}

}  // namespace crankspur
