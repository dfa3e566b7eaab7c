#include "gateway/prefill_rate.h"

#include <catch2/catch.hpp>

using namespace crankspur;
using namespace crankspur::gateway;
using namespace std::chrono_literals;

TEST_CASE("before a rate is observed, a long prompt is expected to meet a two-second deadline",
          "[gateway][prefill_rate]") {
  const PrefillRates rates;
  // 40,000 tokens within two seconds.
  CHECK(rates.rate("lm") >= 20'000);
}

TEST_CASE("the estimate follows the observed rate, faster up than down", "[gateway][prefill_rate]") {
  PrefillRates rates;
  const double first = rates.rate("lm");
  for (int count = 0; count < 20; ++count) rates.observe("lm", 10'000, 200ms);
  CHECK(rates.rate("lm") == Approx(50'000).epsilon(0.01));
  rates.observe("lm", 10'000, 2s);
  CHECK(rates.rate("lm") > 48'000);
  for (int count = 0; count < 200; ++count) rates.observe("lm", 10'000, 1s);
  CHECK(rates.rate("lm") == Approx(10'000).epsilon(0.05));
  CHECK(rates.rate("other") == first);
}
