/// @file Takes the place of src/lease until it stands: a lease that nobody ever holds, so that simulated
/// routers give no orders. It is built only while src/lease has no source.

#include "lease/lease.h"

namespace crankspur {

namespace {

class AbsentLease : public Lease {
public:
  std::optional<LeaseAction> poll(TimePoint) override { return std::nullopt; }
  void onRead(const LeaseRow&, TimePoint) override {}
  void onWritten(bool, const LeaseRow&, TimePoint) override {}
  void onFailed(TimePoint) override {}
  std::optional<std::uint64_t> heldToken(TimePoint) const override { return std::nullopt; }
  TimePoint nextTimer() const override { return TimePoint::max(); }
};

}  // namespace

std::unique_ptr<Lease> makeLease(std::string, Duration, std::uint64_t) {
  return std::make_unique<AbsentLease>();
}

}  // namespace crankspur
