// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include <boost/test/unit_test.hpp>

#include "Scheduling/SchedulerHarness.h"

using namespace yardhill::scheduling;
using std::chrono::milliseconds;
using yardhill::common::timing;

namespace
{
// One worker with room for one task, and a job that has waited for it.
struct waited_job : scheduler_harness
{
  explicit waited_job(const yardhill::jobs::step_spec& step)
  {
    const yardhill::jobs::wall_time wall{std::chrono::hours{1}};
    scheduler->set_wall_clock(wall, now);
    yardhill::jobs::accepted_job handed_in = job(k_job, {step});
    handed_in.accepted_at = wall;
    scheduler->add_job(handed_in, now);
    pass(milliseconds{400});
    add_worker(worker("w1"));
    this->step();
    commit_and_step();
    BOOST_TEST_REQUIRE(starts.size() == 1U);
  }

  // Bounds of the histogram are an eighth of a decade apart.
  bool near(timing which, milliseconds time) const
  {
    const auto measured = metrics.quantile(which, 1.0);
    return measured >= time && measured <= 2 * time;
  }
};
} // namespace

BOOST_AUTO_TEST_SUITE(MeasuresTest)

BOOST_AUTO_TEST_CASE(the_time_to_the_first_start_is_told_by_kind)
{
  const waited_job urgent(scheduler_harness::step_of(1));
  BOOST_TEST(urgent.near(timing::waiting_interactive, milliseconds{400}));
  auto lasting = scheduler_harness::step_of(1);
  lasting.long_running = true;
  const waited_job service(lasting);
  BOOST_TEST(service.near(timing::waiting_service, milliseconds{400}));
  BOOST_TEST(service.metrics.quantile(timing::waiting_interactive, 1.0).count() == 0);
}

BOOST_AUTO_TEST_CASE(a_second_run_is_not_told_again)
{
  waited_job urgent(scheduler_harness::step_of(1));
  urgent.answer_start(urgent.starts.front(), call_end::done);
  urgent.pass(milliseconds{20000});
  urgent.answer_hold("w1", {},
                     {scheduler_harness::ended(1, urgent.starts.front(), run_outcome::lapsed)});
  urgent.clear();
  urgent.step();
  urgent.commit_and_step();
  BOOST_TEST_REQUIRE(urgent.starts.size() == 1U);
  BOOST_TEST(urgent.near(timing::waiting_interactive, milliseconds{400}));
}

BOOST_AUTO_TEST_CASE(load_tells_jobs_and_usable_workers)
{
  waited_job urgent(scheduler_harness::step_of(1, 3000));
  const partition_load before = urgent.scheduler->load();
  BOOST_TEST(before.queued_jobs() == 1U);
  BOOST_TEST(before.open_jobs == 1U);
  BOOST_TEST(before.usable_workers == 1U);
  BOOST_TEST(before.free_cpu == 13000);
  urgent.answer_start(urgent.starts.front(), call_end::done);
  BOOST_TEST(urgent.scheduler->load().queued_jobs() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
