#include "gateway/request_fingerprint.h"

#include <catch2/catch.hpp>

using namespace crankspur::gateway;

TEST_CASE("a fingerprint tells requests apart by each of its fields", "[gateway][fingerprint]") {
  const RequestFingerprint one = fingerprintOf("desk", "/a/", "tenant", "body");
  CHECK(one == fingerprintOf("desk", "/a/", "tenant", "body"));
  CHECK(one != fingerprintOf("desk2", "/a/", "tenant", "body"));
  CHECK(one != fingerprintOf("desk", "/b/", "tenant", "body"));
  CHECK(one != fingerprintOf("desk", "/a/", "other", "body"));
  CHECK(one != fingerprintOf("desk", "/a/", "tenant", "body2"));
}

TEST_CASE("bytes that move from one field to the next make another fingerprint", "[gateway][fingerprint]") {
  CHECK(fingerprintOf("desk", "/a/", "tenant", "body") != fingerprintOf("desk", "/a/t", "enant", "body"));
  CHECK(fingerprintOf("", "", "", "x") != fingerprintOf("", "", "x", ""));
}

TEST_CASE("a fingerprint is 32 hexadecimal digits in logs", "[gateway][fingerprint]") {
  CHECK(toHex(fingerprintOf("", "", "", "")).size() == 32);
}
