// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

// Copies of tasks were started seconds after the tasks had been done and their ends acknowledged.
// Half of the orders to workers had no answer and were carried out late; a copy was ordered beside
// a worker whose answers were missing, the task was done meanwhile, and the copy's start arrived
// after that. A start was good until the end of the lease that it gave, 7.5 s, so that no worker
// turned it away. What proved it: the late start carried an end that was still to come.

#include <cstdlib>

#include <boost/test/unit_test.hpp>

#include "Common/EventLog.h"
#include "Model/ExploredCell.h"

using namespace yardhill;
using namespace yardhill::model;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{
constexpr std::uint64_t k_seeds = 10;
constexpr std::size_t k_jobs = 40;

jobs::job_spec copied_job()
{
  jobs::step_spec step;
  step.count = 6;
  step.demand.cpu_millis = 500;
  step.demand.memory_mib = 100;
  step.estimate = milliseconds{600};
  step.speculative = true;
  jobs::job_spec spec;
  spec.payload = "payload";
  spec.steps = {step};
  return spec;
}
} // namespace

BOOST_AUTO_TEST_SUITE(LateCopyTest)

BOOST_AUTO_TEST_CASE(no_copy_starts_long_after_its_task_is_done)
{
  for (std::uint64_t seed = 1; seed <= k_seeds; ++seed)
  {
    explored_cell cell(seed);
    const auto pass = [&cell](duration span) { cell.time().run_until(cell.time().now() + span); };
    cell.judge().expect_connectivity();
    pass(seconds{3});
    cell.network().troubles.delayed_worker_call_share = 0.6;
    for (std::size_t i = 0; i < k_jobs; ++i)
    {
      cell.callers().hand_in(copied_job());
      pass(milliseconds{300});
    }
    cell.network().troubles.delayed_worker_call_share = 0.0;
    pass(seconds{40});
    cell.callers().query_all();
    pass(seconds{3});
    cell.judge().check_all_ended(cell.callers().states());
    std::string told;
    for (const std::string& each : cell.judge().violations())
      told += "\n  " + each;
    BOOST_TEST(cell.judge().violations().empty(), "seed " << seed << told);
  }
}

// A worker whose lease holds had extended took a copy's start after that start's own end. The end
// of the first run had been acknowledged, and the job shown as completed, while it was on its way.
BOOST_AUTO_TEST_CASE(no_end_is_told_while_a_copys_start_is_on_its_way)
{
  for (std::uint64_t seed = 1; seed <= k_seeds; ++seed)
  {
    explored_cell cell(seed);
    const auto pass = [&cell](duration span) { cell.time().run_until(cell.time().now() + span); };
    cell.judge().expect_connectivity();
    pass(seconds{3});
    cell.network().troubles.delayed_worker_call_share = 0.4;
    for (std::size_t i = 0; i < k_jobs; ++i)
    {
      cell.callers().hand_in(copied_job());
      pass(milliseconds{300});
      cell.callers().query_all();
    }
    cell.network().troubles.delayed_worker_call_share = 0.0;
    for (int i = 0; i < 80; ++i)
    {
      pass(milliseconds{500});
      cell.callers().query_all();
    }
    cell.judge().check_all_ended(cell.callers().states());
    std::string told;
    for (const std::string& each : cell.judge().violations())
      told += "\n  " + each;
    BOOST_TEST(cell.judge().violations().empty(), "seed " << seed << told);
  }
}

BOOST_AUTO_TEST_SUITE_END()
