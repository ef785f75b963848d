// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

// Copies of tasks were started seconds after the tasks had been done and their ends acknowledged.
// Half of the requests to workers had no reply and were carried out late: a copy was requested next
// to a worker whose replies were missing, the task was done meanwhile, and the copy's start request
// arrived after that. A start request was valid until the end of the lease that it granted, 7.5 s,
// so its end still lay in the future and no worker rejected it.

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
constexpr std::uint64_t k_seed_count = 10;
constexpr std::size_t k_job_count = 40;

jobs::job_spec speculative_job()
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
  for (std::uint64_t seed = 1; seed <= k_seed_count; ++seed)
  {
    explored_cell cell(seed);
    const auto run_for = [&cell](duration span)
    { cell.time().run_until(cell.time().now() + span); };
    cell.judge().expect_connectivity();
    run_for(seconds{3});
    cell.network().troubles.delayed_worker_call_share = 0.6;
    for (std::size_t i = 0; i < k_job_count; ++i)
    {
      cell.callers().hand_in(speculative_job());
      run_for(milliseconds{300});
    }
    cell.network().troubles.delayed_worker_call_share = 0.0;
    run_for(seconds{40});
    cell.callers().query_all();
    run_for(seconds{3});
    cell.judge().check_all_ended(cell.callers().states());
    std::string violation_text;
    for (const std::string& each : cell.judge().violations())
      violation_text += "\n  " + each;
    BOOST_TEST(cell.judge().violations().empty(), "seed " << seed << violation_text);
  }
}

// A worker whose lease had been extended by holds accepted a copy's start request after the end of
// the lease that the request itself granted. While the request was in flight, the end of the first
// run had been acknowledged and the job was shown as completed.
BOOST_AUTO_TEST_CASE(no_end_is_reported_while_a_copys_start_request_is_in_flight)
{
  for (std::uint64_t seed = 1; seed <= k_seed_count; ++seed)
  {
    explored_cell cell(seed);
    const auto run_for = [&cell](duration span)
    { cell.time().run_until(cell.time().now() + span); };
    cell.judge().expect_connectivity();
    run_for(seconds{3});
    cell.network().troubles.delayed_worker_call_share = 0.4;
    for (std::size_t i = 0; i < k_job_count; ++i)
    {
      cell.callers().hand_in(speculative_job());
      run_for(milliseconds{300});
      cell.callers().query_all();
    }
    cell.network().troubles.delayed_worker_call_share = 0.0;
    for (int i = 0; i < 80; ++i)
    {
      run_for(milliseconds{500});
      cell.callers().query_all();
    }
    cell.judge().check_all_ended(cell.callers().states());
    std::string violation_text;
    for (const std::string& each : cell.judge().violations())
      violation_text += "\n  " + each;
    BOOST_TEST(cell.judge().violations().empty(), "seed " << seed << violation_text);
  }
}

BOOST_AUTO_TEST_SUITE_END()
