// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

// A task crashed each worker that started it, ten milliseconds after its start, and was started
// again for as long as the cell was watched: some thirty workers of 48 in a hundred seconds, with
// all that ran there. An attempt counted when a worker listed its end as failed, and a crashed
// worker lists nothing. Where a step may run in copies, the next worker was lost 0.4 s later,
// before anything was known of the one before; and an owner knew nothing of what its predecessor
// had seen. What proved it: runs 1 to 3 of such a task under one owner, and dozens under the next
// one.

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
constexpr std::uint64_t k_seeds = 4;
constexpr milliseconds k_crash{10};
// Innocent jobs come for so long; the rest is for what is left to end.
constexpr seconds k_jobs_come{12};
constexpr seconds k_play{50};
constexpr seconds k_answers{3};

jobs::step_spec step_of(std::uint32_t count)
{
  jobs::step_spec step;
  step.count = count;
  step.demand.cpu_millis = 500;
  step.demand.memory_mib = 100;
  step.estimate = milliseconds{900};
  return step;
}

struct crash_play
{
  explicit crash_play(std::uint64_t seed) : cell(seed)
  {
    if (std::getenv("YARDHILL_LOG") != nullptr)
      common::open_event_log("crashing-" + std::to_string(seed));
    pass(seconds{3});
  }

  void pass(duration span) { cell.time().run_until(cell.time().now() + span); }

  void hand_in(const std::vector<jobs::step_spec>& steps, duration after = k_crash)
  {
    jobs::job_spec spec;
    spec.payload = "payload";
    spec.steps = steps;
    m_ids.push_back(cell.callers().submit_crashing(spec, after));
  }

  void replace_owner_every(duration period)
  {
    cell.time().schedule(period,
                         [this, period]
                         {
                           if (cell.time().now() < m_owners_lost_until)
                             replace_owner_every(period);
                           replace_owner();
                         });
  }

  // Until everything should have ended.
  void finish()
  {
    cell.callers().submit_jobs_until(cell.time().now() + k_jobs_come);
    pass(k_play);
    cell.callers().query_all();
    pass(k_answers);
    cell.judge().check_all_ended(cell.callers().states());
    BOOST_TEST(cell.judge().violations().empty(), told());
    for (const std::string& id : m_ids)
      BOOST_TEST((cell.callers().states().at(id) == jobs::job_state::failed), id << told());
  }

  std::string told()
  {
    std::string text;
    for (const std::string& each : cell.judge().violations())
      text += "\n  " + each;
    return text;
  }

  explored_cell cell;

private:
  void replace_owner()
  {
    for (explored_instance& each : cell.instances())
    {
      if (!each.up() || !each.core->owns_any())
        continue;
      cell.end_instance(each);
      cell.time().schedule(milliseconds{500}, [this, &each] { cell.start_instance(each); });
      return;
    }
  }

  time_point m_owners_lost_until = cell.time().now() + seconds{25};
  std::vector<std::string> m_ids;
};

void play_all(const std::vector<jobs::step_spec>& steps, duration after = k_crash)
{
  for (std::uint64_t seed = 1; seed <= k_seeds; ++seed)
  {
    crash_play play(seed);
    play.hand_in(steps, after);
    play.finish();
  }
}
} // namespace

BOOST_AUTO_TEST_SUITE(CrashingTaskTest)

BOOST_AUTO_TEST_CASE(it_is_given_up_and_its_neighbours_are_done)
{
  play_all({step_of(1)});
  play_all({step_of(6)});
}

BOOST_AUTO_TEST_CASE(copies_of_it_count)
{
  jobs::step_spec step = step_of(3);
  step.speculative = true;
  play_all({step});
}

BOOST_AUTO_TEST_CASE(a_member_of_a_gang_is_given_up)
{
  jobs::step_spec step = step_of(4);
  step.gang = true;
  play_all({step});
}

BOOST_AUTO_TEST_CASE(a_task_that_lasts_is_given_up)
{
  jobs::step_spec step = step_of(3);
  step.long_running = true;
  play_all({step});
}

BOOST_AUTO_TEST_CASE(steps_behind_it_end_with_its_job)
{
  jobs::step_spec last = step_of(2);
  last.depends_on = {0};
  play_all({step_of(2), last});
}

BOOST_AUTO_TEST_CASE(one_that_takes_longer_to_crash_is_given_up)
{
  jobs::step_spec step = step_of(2);
  step.estimate = seconds{5};
  step.long_running = true; // it would end before it crashes its worker otherwise
  play_all({step}, seconds{3});
}

BOOST_AUTO_TEST_CASE(several_at_once_are_told_apart_from_their_neighbours)
{
  for (std::uint64_t seed = 1; seed <= k_seeds; ++seed)
  {
    crash_play play(seed);
    for (int i = 0; i < 4; ++i)
      play.hand_in({step_of(2)});
    play.finish();
  }
}

BOOST_AUTO_TEST_CASE(each_owner_goes_on_with_what_the_one_before_has_counted)
{
  for (const milliseconds period : {milliseconds{2000}, milliseconds{3500}, milliseconds{5000}})
  {
    for (std::uint64_t seed = 1; seed <= k_seeds; ++seed)
    {
      crash_play play(seed);
      play.hand_in({step_of(2)});
      play.replace_owner_every(period);
      play.finish();
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
