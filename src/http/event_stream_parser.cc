#include "http/client.h"

namespace crankspur::http {

namespace {
constexpr std::string_view kDataField = "data:";
}

bool EventStreamParser::feed(std::string_view bytes, const std::function<void(std::string_view)>& on_event) {
  std::size_t begin = 0;
  for (std::size_t end = bytes.find('\n'); end != std::string_view::npos; end = bytes.find('\n', begin)) {
    const std::string_view piece = bytes.substr(begin, end - begin);
    begin = end + 1;
    if (buffer_.empty()) {
      if (!processLine(piece, on_event)) return false;
      continue;
    }
    const std::string line = buffer_.append(piece);
    buffer_.clear();
    if (!processLine(line, on_event)) return false;
  }
  buffer_.append(bytes.substr(begin));
  return buffer_.size() + data_.size() <= limit_;
}

bool EventStreamParser::processLine(std::string_view line,
                                    const std::function<void(std::string_view)>& on_event) {
  if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
  if (line.empty()) {
    if (!has_data_) return true;
    const std::string event = std::exchange(data_, {});
    has_data_ = false;
    on_event(event);
    return true;
  }
  if (line.substr(0, kDataField.size()) != kDataField) return true;
  line.remove_prefix(kDataField.size());
  if (!line.empty() && line.front() == ' ') line.remove_prefix(1);
  if (has_data_) data_ += '\n';
  has_data_ = true;
  data_.append(line);
  return data_.size() <= limit_;
}

}  // namespace crankspur::http
