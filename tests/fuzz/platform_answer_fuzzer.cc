/// @file Fuzz target for responses of the platform's services: rows, transactions and the machine list.

#include "fuzz_input.h"
#include "machine_list/machine_codec.h"
#include "table_service/row_codec.h"
#include "table_service/table_codec.h"

using namespace crankspur;

namespace {

void decodeRowValue(std::string_view text) {
  TableRow row;
  row.version = 1;
  row.value = std::string(text);
  const auto claim = decodeClaimRow(row);
  if (claim) fuzz::check(decodeClaimRow({row.key, 1, encodeClaimRow(*claim)}).has_value());
  const auto group = decodeClaimGroupRow(row);
  if (group) fuzz::check(decodeClaimGroupRow({row.key, 1, encodeClaimGroupRow(*group)}).has_value());
  const auto lease = decodeLeaseRow(row);
  if (lease) fuzz::check(decodeLeaseRow({row.key, 1, encodeLeaseRow(*lease)}).has_value());
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const std::string_view text = fuzz::asText(data, size);
  decodeRow(text);
  decodeTransaction(text);
  decodeCommitted(text);
  decodeConflict(text);
  decodeRowValue(text);
  const auto machines = decodeMachineList(text);
  if (machines) fuzz::check(decodeMachineList(encodeMachineList(*machines)).has_value());
  return 0;
}
