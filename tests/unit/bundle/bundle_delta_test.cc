#include "bundle/bundle_delta.h"

#include <fmt/format.h>

#include <catch2/catch.hpp>

#include "base/random.h"
#include "bundle/bundle.h"
#include "bundle/bundle_history.h"
#include "bundle/bundle_sharing.h"
#include "bundle/line_diff.h"
#include "bundle/signing.h"

using namespace crankspur;

namespace {

std::string randomText(RandomSource& random, std::size_t lines) {
  std::string text;
  for (std::size_t line = 0; line < lines; ++line) {
    text += fmt::format("{}\n", random.uniform(0, 9));
  }
  return text;
}

std::string editedText(RandomSource& random, const std::string& text) {
  std::string edited;
  for (const std::string_view line : splitLines(text)) {
    if (!random.chance(0.1)) {
      edited += line;
    }
    if (random.chance(0.1)) {
      edited += fmt::format("new {}\n", random.uniform(0, 3));
    }
  }
  return random.chance(0.2) ? edited + "no line feed" : edited;
}

/// A document with enough comments that several deltas are smaller than the full document.
std::string makeDocument(std::uint64_t version) {
  std::string comments;
  for (int line = 0; line < 50; ++line) {
    comments += fmt::format("# comment {}\n", line);
  }
  return comments + fmt::format(
                        "version = {}\nsite = \"s\"\n[[models]]\nname = \"m\"\nweights_version = "
                        "\"w{}\"\npools = [\"p\"]\n"
                        "[[tenants]]\nname = \"t\"\napi_key_sha256 = [\"{}\"]\nmodels = [\"m\"]\n",
                        version, version, std::string(64, '0'));
}

struct Signers {
  SigningKeyPair author = generateSigningKeyPair();
  SigningKeyPair approver = generateSigningKeyPair();

  BundleBody sign(std::uint64_t version) const {
    const std::string document = makeDocument(version);
    return {version, document,
            signBundle(author.private_key, SignatureRole::Author, version, document).value(),
            signBundle(approver.private_key, SignatureRole::Approver, version, document).value()};
  }
};

}  // namespace

TEST_CASE("applying a delta reproduces the exact document for random changes", "[bundle]") {
  RandomSource random(7);
  for (int round = 0; round < 300; ++round) {
    const std::string before = randomText(random, random.uniform(0, 60));
    const std::string after = round % 3 == 0 ? randomText(random, 40) : editedText(random, before);
    const auto delta = makeDocumentDelta(before, after);
    REQUIRE(delta);
    CHECK(applyDocumentDelta(before, *delta) == after);
  }
}

TEST_CASE("the edit script is the shortest possible", "[bundle]") {
  const std::string before = "a\nb\nc\na\nb\nb\na\n";
  const std::string after = "c\nb\na\nb\na\nc\n";
  const auto differsByAtMost = [&](std::size_t edits) {
    return diffLines(splitLines(before), splitLines(after), edits).has_value();
  };
  CHECK(differsByAtMost(5));  // The example in Myers' paper.
  CHECK_FALSE(differsByAtMost(4));
}

TEST_CASE("documents that differ too much get no delta", "[bundle]") {
  std::string before;
  std::string after;
  for (std::size_t line = 0; line < kMaxDeltaEdits; ++line) {
    before += fmt::format("old {}\n", line);
    after += fmt::format("new {}\n", line);
  }
  CHECK_FALSE(makeDocumentDelta(before, after));
  CHECK(makeDocumentDelta("", after));
}

TEST_CASE("a delta of another document or a corrupted delta never crashes and never produces the document",
          "[bundle]") {
  const std::string before = makeDocument(1);
  const std::string after = makeDocument(2);
  const std::string delta = makeDocumentDelta(before, after).value();
  CHECK_FALSE(applyDocumentDelta(after, delta));
  CHECK_FALSE(applyDocumentDelta(before, ""));
  RandomSource random(3);
  for (std::size_t position = 0; position < delta.size(); ++position) {
    CHECK(applyDocumentDelta(before, delta.substr(0, position)) != after);
    std::string corrupted = delta;
    corrupted[position] = static_cast<char>(corrupted[position] ^ static_cast<char>(random.uniform(1, 255)));
    CHECK(applyDocumentDelta(before, corrupted) != after);
  }
  const std::string endless = delta.substr(0, 8) + std::string(40, '\xff');
  CHECK_FALSE(applyDocumentDelta(before, endless));
}

TEST_CASE("a peer that is several versions behind is updated by verified steps", "[bundle]") {
  const Signers signers;
  const TrustedKeys keys{{signers.author.public_key}, {signers.approver.public_key}};
  BundleHistory history(100'000);
  for (std::uint64_t version = 1; version < 6; ++version) {
    history.add(signers.sign(version), signers.sign(version + 1));
  }
  const BundleBody current = signers.sign(6);
  const auto update = history.updateFrom(2, current);
  REQUIRE(update);
  CHECK(update->steps.size() == 4);
  BundleHolder holder(keys);
  REQUIRE_FALSE(holder.offer(signers.sign(2)));
  const auto body = applyBundleUpdate(holder.current()->body, *update);
  REQUIRE(body);
  CHECK_FALSE(holder.offer(*body));
  CHECK(holder.version() == 6);

  BundleUpdate tampered = *update;
  tampered.steps.pop_back();
  CHECK(holder.offer(applyBundleUpdate(signers.sign(2), tampered).value()) == ErrorCode::Stale);
  tampered.steps.back().to_version = 7;
  CHECK(holder.offer(applyBundleUpdate(signers.sign(2), tampered).value()) == ErrorCode::SignatureInvalid);
  CHECK_FALSE(applyBundleUpdate(signers.sign(3), *update));
  CHECK_FALSE(history.updateFrom(0, current));
  CHECK_FALSE(history.updateFrom(2, signers.sign(7)));
}

TEST_CASE("the history is bounded and is cleared when the chain of versions breaks", "[bundle]") {
  const Signers signers;
  BundleHistory history(150);
  for (std::uint64_t version = 1; version < 30; ++version) {
    history.add(signers.sign(version), signers.sign(version + 1));
    CHECK(history.bytes() <= 150);
  }
  CHECK(history.updateFrom(29, signers.sign(30)));
  CHECK_FALSE(history.updateFrom(1, signers.sign(30)));
  history.add(signers.sign(40), signers.sign(41));
  CHECK_FALSE(history.updateFrom(29, signers.sign(41)));
  CHECK(history.updateFrom(40, signers.sign(41)));
}

namespace {

/// A node that synchronises bundles with peers.
struct SharingNode {
  explicit SharingNode(const Signers& signers)
      : holder({{signers.author.public_key}, {signers.approver.public_key}}) {}

  std::error_code offer(const BundleBody& body) {
    const std::error_code error = holder.offer(body);
    if (!error) {
      sharing.setBundle(holder.current());
    }
    return error;
  }

  BundleHolder holder;
  BundleSharing sharing;
};

}  // namespace

TEST_CASE("a recent peer receives updates and a new peer or one far behind receives full bodies",
          "[bundle]") {
  const Signers signers;
  SharingNode ahead(signers);
  SharingNode behind(signers);
  const TimePoint now{};
  for (std::uint64_t version = 3; version < 7; ++version) {
    REQUIRE_FALSE(ahead.offer(signers.sign(version)));
    REQUIRE(behind.sharing.shouldRequest(version, now));
    const std::optional<Message> response = ahead.sharing.response(behind.sharing.request());
    REQUIRE(response);
    const auto* update = std::get_if<BundleUpdate>(&*response);
    CHECK((update == nullptr) == (version == 3));
    const BundleBody body =
        update == nullptr ? std::get<BundleBody>(*response) : *behind.sharing.apply(*update);
    REQUIRE_FALSE(behind.offer(body));
  }
  CHECK(behind.holder.version() == 6);
  CHECK_FALSE(ahead.sharing.response(behind.sharing.request()));
  CHECK(std::holds_alternative<BundleBody>(*ahead.sharing.response(BundleRequest{1})));
}

TEST_CASE("an unusable update is followed by a request for the full body, then by a backoff", "[bundle]") {
  const Signers signers;
  SharingNode node(signers);
  REQUIRE_FALSE(node.offer(signers.sign(1)));
  const TimePoint now{};
  CHECK_FALSE(node.sharing.apply({{{9, 10, "late"}}, "", ""}));
  CHECK_FALSE(node.sharing.needsFullBody());
  CHECK_FALSE(node.sharing.apply({{{1, 2, "rubbish"}}, "", ""}));
  CHECK(node.sharing.needsFullBody());
  CHECK(node.sharing.request().held_version == 0);

  node.sharing.onRejected(2, now);
  CHECK_FALSE(node.sharing.shouldRequest(2, now));
  CHECK(node.sharing.shouldRequest(3, now));
  CHECK(node.sharing.shouldRequest(2, now + BundleSharing::kRejectedVersionBackoff));
  REQUIRE_FALSE(node.offer(signers.sign(2)));
  CHECK(node.sharing.request().held_version == 2);

  const std::string forged = makeDocumentDelta(makeDocument(2), makeDocument(4)).value();
  const auto body = node.sharing.apply({{{2, 3, forged}}, "a", "b"});
  REQUIRE(body);
  CHECK(node.offer(*body) == ErrorCode::SignatureInvalid);
  node.sharing.onRejected(3, now);
  CHECK(node.sharing.shouldRequest(3, now));
  CHECK(node.sharing.request().held_version == 0);
}

TEST_CASE("a forged high version does not block other versions", "[bundle]") {
  const Signers signers;
  SharingNode node(signers);
  REQUIRE_FALSE(node.offer(signers.sign(1)));
  const TimePoint now{};
  constexpr std::uint64_t kForgedVersion = 1'000'000;
  // The first rejection requests the full body, the second blocks the version for a while.
  node.sharing.onRejected(kForgedVersion, now);
  node.sharing.onRejected(kForgedVersion, now);
  CHECK_FALSE(node.sharing.shouldRequest(kForgedVersion, now));
  CHECK(node.sharing.shouldRequest(2, now));
  CHECK(node.sharing.shouldRequest(kForgedVersion + 1, now));
  for (std::uint64_t extra = 0; extra < BundleSharing::kMaxRejectedVersions; ++extra) {
    node.sharing.onRejected(kForgedVersion + 1 + extra, now);
  }
  CHECK(node.sharing.shouldRequest(2, now));
  CHECK(node.sharing.shouldRequest(kForgedVersion, now));
  CHECK_FALSE(node.sharing.shouldRequest(kForgedVersion + BundleSharing::kMaxRejectedVersions, now));
}
