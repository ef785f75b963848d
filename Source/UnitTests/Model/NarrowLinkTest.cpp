// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

// Tests an owner whose link is too small for a burst. With 120 workers under an owner with a link
// of 2 Mbit/s, a burst of 4 s filled the link; every call was reported as unanswered and repeated,
// and the link never became free again. Of 165 jobs 44 were served in time, 84 tasks were lost, and
// some ran again after they had ended. This test uses 9 workers and a link of 30 KB/s, which
// carries some 25 tasks a second.

#include <boost/test/unit_test.hpp>

#include "Model/ExploredCell.h"

using namespace yardhill;
using namespace yardhill::model;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{
constexpr double k_link_bytes_per_second = 30000;
constexpr std::uint32_t k_tasks_per_job = 4;

struct narrow_cell
{
  explicit narrow_cell(std::uint64_t seed) : cell(seed)
  {
    for (const explored_instance& each : cell.instances())
      cell.network().troubles.links[each.name] = k_link_bytes_per_second;
    run_for(seconds{4});
  }

  void run_for(milliseconds span) { cell.time().run_until(cell.time().now() + span); }

  std::string submit()
  {
    jobs::step_spec step;
    step.count = k_tasks_per_job;
    step.demand.cpu_millis = 500;
    step.demand.memory_mib = 100;
    step.estimate = milliseconds{900};
    jobs::job_spec spec;
    spec.payload = std::string(300, 'x');
    spec.steps.push_back(step);
    return cell.callers().hand_in(spec);
  }

  // Submits `per_second` jobs a second for `span`.
  void submit_at_rate(unsigned per_second, seconds span)
  {
    for (unsigned i = 0; i < per_second * span.count(); ++i)
    {
      submit();
      run_for(milliseconds{1000 / per_second});
    }
  }

  // Submits a job and returns the time until its first task runs, at most 10 s.
  milliseconds time_to_first_start()
  {
    const std::string id = submit();
    const auto submitted_at = cell.time().now();
    const auto has_started = [&]
    {
      for (const task_ref& task : cell.judge().active_tasks())
      {
        if (task.job == id)
          return true;
      }
      return false;
    };
    while (!has_started() && cell.time().now() - submitted_at < seconds{10})
      run_for(milliseconds{5});
    return std::chrono::duration_cast<milliseconds>(cell.time().now() - submitted_at);
  }

  explored_cell cell;
};
} // namespace

BOOST_AUTO_TEST_SUITE(NarrowLinkTest)

BOOST_AUTO_TEST_CASE(first_starts_recover_after_a_burst)
{
  for (const std::uint64_t seed : {1U, 2U, 3U})
  {
    narrow_cell narrow(seed);
    narrow.submit_at_rate(3, seconds{3});
    const milliseconds unloaded = narrow.time_to_first_start();
    narrow.run_for(seconds{2});
    narrow.submit_at_rate(12, seconds{4});
    // The queued tasks are processed at the rate that the link allows; soon afterwards nothing of
    // the burst is left.
    narrow.run_for(seconds{16});
    const milliseconds after = narrow.time_to_first_start();
    BOOST_TEST(after <= 2 * unloaded + milliseconds{100},
               "seed " << seed << ": " << unloaded.count() << " ms before, " << after.count()
                       << " ms after");
    narrow.run_for(seconds{8});
    BOOST_TEST(narrow.cell.judge().active_runs() == 0U);
    for (const std::string& violation : narrow.cell.judge().violations())
      BOOST_ERROR(violation);
    // Only failed runs are started again.
    const std::size_t tasks = k_tasks_per_job * (9 + 1 + 48 + 1);
    BOOST_TEST(narrow.cell.judge().starts() <= tasks + tasks / 5);
  }
}

BOOST_AUTO_TEST_SUITE_END()
