#include "gateway/request_fingerprint.h"

#include <catch2/catch.hpp>

using namespace crankspur::gateway;

TEST_CASE("requests that differ in one field have different fingerprints", "[gateway][fingerprint]") {
  const RequestFingerprint fingerprint = fingerprintOf("desk", "/a/", "tenant", "body");
  CHECK(fingerprint == fingerprintOf("desk", "/a/", "tenant", "body"));
  CHECK(fingerprint != fingerprintOf("desk2", "/a/", "tenant", "body"));
  CHECK(fingerprint != fingerprintOf("desk", "/b/", "tenant", "body"));
  CHECK(fingerprint != fingerprintOf("desk", "/a/", "other", "body"));
  CHECK(fingerprint != fingerprintOf("desk", "/a/", "tenant", "body2"));
}

TEST_CASE("bytes that move from one field to the next change the fingerprint", "[gateway][fingerprint]") {
  CHECK(fingerprintOf("desk", "/a/", "tenant", "body") != fingerprintOf("desk", "/a/t", "enant", "body"));
  CHECK(fingerprintOf("", "", "", "x") != fingerprintOf("", "", "x", ""));
}

TEST_CASE("a fingerprint is written as 32 hexadecimal digits", "[gateway][fingerprint]") {
  CHECK(toHex(fingerprintOf("", "", "", "")).size() == 32);
}
