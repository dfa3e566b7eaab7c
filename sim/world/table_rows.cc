#include "sim/world/table_rows.h"

#include <fmt/format.h>

#include <vector>

namespace crankspur::sim {

namespace {

/// Field separator within a value; must not occur in a field.
constexpr char kSeparator = '\x1f';

std::vector<std::string> splitFields(const std::string& text) {
  std::vector<std::string> fields(1);
  for (const char character : text) {
    if (character == kSeparator) {
      fields.emplace_back();
    } else {
      fields.back() += character;
    }
  }
  return fields;
}

}  // namespace

std::string encodeClaimRow(const ClaimRow& row) {
  return fmt::format("{1}{0}{2}{0}{3}{0}{4}", kSeparator, static_cast<int>(row.phase), row.token,
                     row.body_hash, row.result);
}

ClaimRow decodeClaimRow(const TableRow& row) {
  ClaimRow claim;
  claim.row_version = row.version;
  if (row.version == 0) return claim;
  const std::vector<std::string> fields = splitFields(row.value);
  claim.phase = static_cast<ClaimRow::Phase>(std::stoi(fields[0]));
  claim.token = fields[1];
  claim.body_hash = fields[2];
  claim.result = fields[3];
  return claim;
}

std::string encodeClaimGroupRow(const ClaimGroupRow& row) {
  std::string text = fmt::format("{1}{0}{2}", kSeparator, row.epoch, row.installer);
  for (const ClaimGroupMember& member : row.members) {
    text += fmt::format("{0}{1}{0}{2}", kSeparator, member.address, member.incarnation);
  }
  return text;
}

ClaimGroupRow decodeClaimGroupRow(const TableRow& row) {
  ClaimGroupRow group;
  group.row_version = row.version;
  if (row.version == 0) return group;
  const std::vector<std::string> fields = splitFields(row.value);
  group.epoch = std::stoull(fields[0]);
  group.installer = fields[1];
  for (std::size_t index = 2; index + 1 < fields.size(); index += 2) {
    group.members.push_back({fields[index], std::stoull(fields[index + 1])});
  }
  return group;
}

std::string encodeLeaseRow(const LeaseRow& row) {
  return fmt::format("{1}{0}{2}{0}{3}{0}{4}", kSeparator, row.holder, row.token, row.renewal, row.writer);
}

LeaseRow decodeLeaseRow(const TableRow& row) {
  LeaseRow lease;
  lease.row_version = row.version;
  if (row.version == 0) return lease;
  const std::vector<std::string> fields = splitFields(row.value);
  lease.holder = fields[0];
  lease.token = std::stoull(fields[1]);
  lease.renewal = std::stoull(fields[2]);
  lease.writer = std::stoull(fields[3]);
  return lease;
}

std::string encodeBundleRow(const BundleRow& row) {
  return fmt::format("{1}{0}{2}", kSeparator, row.version, row.digest);
}

BundleRow decodeBundleRow(const TableRow& row) {
  if (row.version == 0) return {};
  const std::vector<std::string> fields = splitFields(row.value);
  return {std::stoull(fields[0]), fields[1]};
}

std::string bundleObjectKey(const BundleRow& row) {
  return fmt::format("bundles/{}-{}", row.version, row.digest);
}

std::string encodeBundleBody(const BundleBody& body) {
  return fmt::format("{1}{0}{2}{0}{3}{0}{4}", kSeparator, body.version, body.author_signature,
                     body.approver_signature, body.document);
}

BundleBody decodeBundleBody(const std::string& text) {
  const std::vector<std::string> fields = splitFields(text);
  BundleBody body;
  body.version = std::stoull(fields[0]);
  body.author_signature = fields[1];
  body.approver_signature = fields[2];
  body.document = fields[3];
  return body;
}

}  // namespace crankspur::sim
