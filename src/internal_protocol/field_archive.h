#pragma once
/// @file Internal to this package: copies the fields of a message between its plain struct and nanopb's
/// struct. A mapping function lists each pair of fields once and is applied with three archives: StoreArchive
/// before encoding, BindArchive before decoding, LoadArchive after decoding.

#include <pb.h>
#include <pb_decode.h>
#include <pb_encode.h>

#include <cstdint>
#include <string>
#include <type_traits>
#include <vector>

#include "base/time.h"

namespace crankspur::wire {

/// Maximum number of records in a repeated field, such as the members of a Ping; a frame with more is
/// malformed.
inline constexpr std::size_t kMaxRecords = 8192;
/// Maximum number of hashes in a repeated field.
inline constexpr std::size_t kMaxHashes = 262144;
/// A longer duration on the wire is malformed; the bound keeps sums of durations far from overflow.
inline constexpr Duration kMaxDuration = std::chrono::hours(24 * 30);

/// Maps a plain message type to its nanopb struct and descriptor.
template <typename Plain>
struct WireTraits;

bool encodeText(pb_ostream_t* stream, const pb_field_t* field, void* const* argument);
bool decodeText(pb_istream_t* stream, const pb_field_t* field, void** argument);
bool encodeHashes(pb_ostream_t* stream, const pb_field_t* field, void* const* argument);
bool decodeHashes(pb_istream_t* stream, const pb_field_t* field, void** argument);

template <typename Plain>
bool encodeBody(pb_ostream_t* stream, const Plain& plain);
template <typename Plain>
bool decodeBody(pb_istream_t* stream, Plain& plain);

template <typename Record>
bool encodeRecords(pb_ostream_t* stream, const pb_field_t* field, void* const* argument);
template <typename Record>
bool decodeRecords(pb_istream_t* stream, const pb_field_t* field, void** argument);

/// Copies values into the nanopb struct and binds its encode callbacks to the plain message.
class StoreArchive {
public:
  void text(pb_callback_t& wire, const std::string& plain) { set(wire, &encodeText, &plain); }
  void hashes(pb_callback_t& wire, const std::vector<std::uint64_t>& plain) {
    set(wire, &encodeHashes, &plain);
  }
  template <typename Record>
  void records(pb_callback_t& wire, const std::vector<Record>& plain) {
    set(wire, &encodeRecords<Record>, &plain);
  }
  template <typename Wire, typename Plain>
  void number(Wire& wire, Plain plain) {
    wire = plain;
  }
  template <typename Enumeration>
  void enumeration(std::uint32_t& wire, Enumeration plain, Enumeration) {
    wire = static_cast<std::uint32_t>(plain);
  }
  void duration(std::uint64_t& wire, Duration plain) {
    wire = plain < Duration::zero() ? 0 : static_cast<std::uint64_t>(plain.count());
  }

private:
  using Encoder = bool (*)(pb_ostream_t*, const pb_field_t*, void* const*);
  static void set(pb_callback_t& wire, Encoder encoder, const void* plain) {
    wire.funcs.encode = encoder;
    wire.arg = const_cast<void*>(plain);  // nanopb's argument is not const; the encoders only read from it.
  }
};

/// Binds the decode callbacks of the nanopb struct to the plain message that receives texts, hashes and
/// records.
class BindArchive {
public:
  void text(pb_callback_t& wire, std::string& plain) { set(wire, &decodeText, &plain); }
  void hashes(pb_callback_t& wire, std::vector<std::uint64_t>& plain) { set(wire, &decodeHashes, &plain); }
  template <typename Record>
  void records(pb_callback_t& wire, std::vector<Record>& plain) {
    set(wire, &decodeRecords<Record>, &plain);
  }
  template <typename Wire, typename Plain>
  void number(Wire&, Plain&) {}
  template <typename Enumeration>
  void enumeration(std::uint32_t&, Enumeration&, Enumeration) {}
  void duration(std::uint64_t&, Duration&) {}

private:
  using Decoder = bool (*)(pb_istream_t*, const pb_field_t*, void**);
  static void set(pb_callback_t& wire, Decoder decoder, void* plain) {
    wire.funcs.decode = decoder;
    wire.arg = plain;
  }
};

/// Copies values from the decoded nanopb struct into the plain message and validates their ranges.
class LoadArchive {
public:
  void text(pb_callback_t&, std::string&) {}
  void hashes(pb_callback_t&, std::vector<std::uint64_t>&) {}
  template <typename Record>
  void records(pb_callback_t&, std::vector<Record>&) {}
  template <typename Wire, typename Plain>
  void number(Wire& wire, Plain& plain) {
    static_assert(std::is_same_v<Wire, Plain>, "the field has one type on both sides");
    plain = wire;
  }
  template <typename Enumeration>
  void enumeration(std::uint32_t& wire, Enumeration& plain, Enumeration last) {
    if (wire > static_cast<std::uint32_t>(last)) valid_ = false;
    if (valid_) plain = static_cast<Enumeration>(wire);
  }
  void duration(std::uint64_t& wire, Duration& plain) {
    if (wire > static_cast<std::uint64_t>(kMaxDuration.count())) valid_ = false;
    if (valid_) plain = Duration(static_cast<Duration::rep>(wire));
  }
  /// @return whether all values were in range.
  bool valid() const { return valid_; }

private:
  bool valid_ = true;
};

template <typename Plain>
bool encodeBody(pb_ostream_t* stream, const Plain& plain) {
  typename WireTraits<Plain>::Type wire{};
  StoreArchive archive;
  mapFields(archive, wire, plain);
  return pb_encode(stream, WireTraits<Plain>::descriptor(), &wire);
}

template <typename Plain>
bool decodeBody(pb_istream_t* stream, Plain& plain) {
  typename WireTraits<Plain>::Type wire{};
  BindArchive bind;
  mapFields(bind, wire, plain);
  if (!pb_decode_ex(stream, WireTraits<Plain>::descriptor(), &wire, PB_DECODE_NOINIT)) return false;
  LoadArchive load;
  mapFields(load, wire, plain);
  return load.valid();
}

template <typename Record>
bool encodeRecords(pb_ostream_t* stream, const pb_field_t* field, void* const* argument) {
  const auto& records = *static_cast<const std::vector<Record>*>(*argument);
  for (const Record& record : records) {
    pb_ostream_t sizing = PB_OSTREAM_SIZING;
    if (!encodeBody(&sizing, record)) return false;
    if (!pb_encode_tag_for_field(stream, field)) return false;
    if (!pb_encode_varint(stream, sizing.bytes_written)) return false;
    if (!encodeBody(stream, record)) return false;
  }
  return true;
}

template <typename Record>
bool decodeRecords(pb_istream_t* stream, const pb_field_t*, void** argument) {
  auto& records = *static_cast<std::vector<Record>*>(*argument);
  if (records.size() >= kMaxRecords) return false;
  return decodeBody(stream, records.emplace_back());
}

}  // namespace crankspur::wire
