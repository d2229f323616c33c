// Guards against requests of priority 0 that are refused while those of lower
// priority are admitted, against more leaf calls than the bound, and against
// retry times that do not follow the host's completion rate.
#include "berylreach/limits/admission.h"

#include <gtest/gtest.h>

#include <chrono>

#include "berylreach/base/manual_clock.h"

namespace berylreach::limits {
namespace {

using std::chrono::milliseconds;

std::size_t Fill(Admission& admission, std::uint32_t priority) {
  std::size_t admitted = 0;
  while (admission.Admit(priority, 1).admitted) ++admitted;
  return admitted;
}

TEST(AdmissionTest, ShedsPriorityZeroLast) {
  base::ManualClock clock;
  Admission admission(clock, {.max_requests = 100, .max_leaf_calls = 10'000});
  EXPECT_EQ(Fill(admission, 9), 50U);
  EXPECT_EQ(Fill(admission, 1), 40U);
  EXPECT_EQ(Fill(admission, 0), 10U);
}

TEST(AdmissionTest, BoundsLeafCalls) {
  base::ManualClock clock;
  Admission admission(clock, {.max_requests = 100, .max_leaf_calls = 50});
  EXPECT_TRUE(admission.Admit(0, 720).admitted)
      << "a request above the bound must be able to run alone";
  EXPECT_FALSE(admission.Admit(0, 1).admitted);
  admission.OnRequestDone(720);
  EXPECT_TRUE(admission.Admit(0, 30).admitted);
  EXPECT_FALSE(admission.Admit(0, 30).admitted);
}

TEST(AdmissionTest, RetryTimeFollowsTheCompletionRate) {
  base::ManualClock clock;
  Admission admission(clock, {.max_requests = 200, .max_leaf_calls = 10'000});
  Fill(admission, 0);
  for (int i = 0; i < 10; ++i) {
    clock.Advance(milliseconds(100));
    admission.OnRequestDone(1);
    admission.Admit(0, 1);
  }
  const auto refusal = admission.Admit(0, 1);
  EXPECT_FALSE(refusal.admitted);
  EXPECT_GE(refusal.retry_after, milliseconds(150));
  EXPECT_LE(refusal.retry_after, milliseconds(250));
}

}  // namespace
}  // namespace berylreach::limits
