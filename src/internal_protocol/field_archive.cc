#include "internal_protocol/field_archive.h"

namespace crankspur::wire {

bool encodeText(pb_ostream_t* stream, const pb_field_t* field, void* const* argument) {
  const auto& text = *static_cast<const std::string*>(*argument);
  if (text.empty()) return true;
  if (!pb_encode_tag_for_field(stream, field)) return false;
  return pb_encode_string(stream, reinterpret_cast<const pb_byte_t*>(text.data()), text.size());
}

bool decodeText(pb_istream_t* stream, const pb_field_t*, void** argument) {
  auto& text = *static_cast<std::string*>(*argument);
  text.resize(stream->bytes_left);
  return pb_read(stream, reinterpret_cast<pb_byte_t*>(text.data()), text.size());
}

bool encodeHashes(pb_ostream_t* stream, const pb_field_t* field, void* const* argument) {
  const auto& hashes = *static_cast<const std::vector<std::uint64_t>*>(*argument);
  if (hashes.empty()) return true;
  if (!pb_encode_tag(stream, PB_WT_STRING, field->tag)) return false;
  if (!pb_encode_varint(stream, hashes.size() * sizeof(std::uint64_t))) return false;
  for (const std::uint64_t hash : hashes) {
    if (!pb_encode_fixed64(stream, &hash)) return false;
  }
  return true;
}

bool decodeHashes(pb_istream_t* stream, const pb_field_t*, void** argument) {
  auto& hashes = *static_cast<std::vector<std::uint64_t>*>(*argument);
  while (stream->bytes_left > 0) {
    if (hashes.size() >= kMaxHashes) return false;
    std::uint64_t hash = 0;
    if (!pb_decode_fixed64(stream, &hash)) return false;
    hashes.push_back(hash);
  }
  return true;
}

}  // namespace crankspur::wire
