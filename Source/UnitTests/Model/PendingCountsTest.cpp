// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

// While instances were stopped one after the other, faster than a new owner reads its rows, two
// that had long been up said that no job of a queue waited; twelve had waited for five seconds.
// Each takeover wrote the counts of the owner before it, without their age, and whoever saw the row
// took them for new; an owner that had just read its rows counted without the jobs that had come
// while it read. Counts in the row of an owner that is stopped before it has read anything, asked
// of an instance that is left alone, prove it: a count is right or is said to be unknown.

#include <functional>
#include <optional>

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include "Model/ExploredCell.h"
#include "Node/JobStore.h"
#include "platform/WireNames.h"

using namespace yardhill;
using model::explored_cell;
using model::explored_instance;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{
constexpr std::uint64_t k_seed = 1;
constexpr std::uint64_t k_jobs = 20;
constexpr const char* k_owner_part = "cell";

// What an instance says of the plain queue.
struct shown_count
{
  unsigned status = 0; // 0: nothing yet
  std::uint64_t pending = 0;
  bool says_when_to_return = false;
};

// A cell with jobs that wait for a worker that never comes.
struct waiting_cell
{
  explored_cell cell{k_seed};

  waiting_cell() { run_for(seconds{3}); }

  void run_for(milliseconds span) { cell.time().run_until(cell.time().now() + span); }

  void add_jobs()
  {
    for (std::uint64_t i = 0; i < k_jobs; ++i)
    {
      jobs::accepted_job job;
      job.id = "00000000000000" + std::to_string(10 + i);
      job.queue = "plain";
      job.home = k_owner_part;
      job.accepted_at = cell.time().wall();
      job.spec.steps.resize(1);
      job.spec.steps.front().required_label = "nowhere";
      cell.store().put(node::job_key(job.id), jobs::to_row_text(job));
    }
  }

  explored_instance* owner()
  {
    for (explored_instance& each : cell.instances())
    {
      if (each.up() && each.core->owns_any())
        return &each;
    }
    return nullptr;
  }

  explored_instance& bystander()
  {
    explored_instance* const owning = owner();
    for (explored_instance& each : cell.instances())
    {
      if (each.up() && &each != owning)
        return each;
    }
    throw std::logic_error("no instance is up beside the owner");
  }

  // Asks, and waits a little for the answer.
  shown_count ask(explored_instance& which)
  {
    const auto shown = std::make_shared<shown_count>();
    which.time->schedule(
        common::duration{0},
        [&which, shown]
        {
          which.core->handle({http::method::get, model::k_host, model::k_plain_prefix, "", "3000"},
                             [shown](const http::outgoing_reply& answer)
                             { take_in(*shown, answer); });
        });
    run_for(milliseconds{5});
    return *shown;
  }

  static void take_in(shown_count& shown, const http::outgoing_reply& answer)
  {
    shown.status = answer.status;
    if (answer.status == 200)
      shown.pending = nlohmann::json::parse(answer.body).at(adapter::wire::k_pending);
    for (const auto& [name, value] : answer.headers)
      shown.says_when_to_return = shown.says_when_to_return || name == "Retry-After";
  }
};

void check_right_or_unknown(const shown_count& shown)
{
  BOOST_TEST(shown.status != 0U);
  if (shown.status == 200)
    BOOST_TEST(shown.pending == k_jobs);
  else
    BOOST_TEST((shown.status == 503 && shown.says_when_to_return), "status " << shown.status);
}
} // namespace

BOOST_AUTO_TEST_SUITE(PendingCountsTest)

BOOST_FIXTURE_TEST_CASE(any_instance_counts_what_waits, waiting_cell)
{
  add_jobs();
  run_for(seconds{2});
  for (explored_instance& each : cell.instances())
  {
    const shown_count shown = ask(each);
    BOOST_TEST(shown.status == 200U);
    BOOST_TEST(shown.pending == k_jobs);
  }
}

BOOST_FIXTURE_TEST_CASE(owners_lost_one_after_the_other_pass_no_old_count_on, waiting_cell)
{
  add_jobs();
  explored_instance& left_alone = cell.instances().front();
  const common::time_point end = cell.time().now() + seconds{10};
  while (cell.time().now() < end)
  {
    explored_instance* const owning = owner();
    if (owning != nullptr)
    {
      BOOST_TEST_REQUIRE(owning != &left_alone);
      cell.end_instance(*owning);
      run_for(milliseconds{200});
      cell.start_instance(*owning);
    }
    run_for(milliseconds{25});
    if (end - cell.time().now() < seconds{5})
      check_right_or_unknown(ask(left_alone));
  }
}

BOOST_FIXTURE_TEST_CASE(an_instance_that_has_seen_no_owner_knows_no_count, waiting_cell)
{
  add_jobs();
  run_for(seconds{6});
  explored_instance& fresh = bystander();
  cell.end_instance(fresh);
  cell.store().silence_parts({k_owner_part});
  cell.start_instance(fresh);
  run_for(milliseconds{500});
  check_right_or_unknown(ask(fresh));
}

BOOST_FIXTURE_TEST_CASE(a_count_that_cannot_be_renewed_is_not_given_for_long, waiting_cell)
{
  cell.store().silence_parts({k_owner_part});
  run_for(milliseconds{50});
  add_jobs();
  run_for(milliseconds{2600});
  BOOST_TEST_REQUIRE(owner() != nullptr);
  check_right_or_unknown(ask(bystander()));
  // The owner has heard of the jobs; it only cannot write it down.
  BOOST_TEST(ask(*owner()).pending == k_jobs);
}

// The commit that was on its way is sent again as it was.
BOOST_FIXTURE_TEST_CASE(a_count_that_was_written_late_is_as_old_as_it_is, waiting_cell)
{
  cell.store().silence_parts({k_owner_part});
  run_for(milliseconds{600});
  add_jobs();
  run_for(milliseconds{2000});
  explored_instance& asked = bystander();
  cell.store().silence_parts({});
  for (int i = 0; i < 200; ++i)
  {
    run_for(milliseconds{5});
    check_right_or_unknown(ask(asked));
  }
}

BOOST_FIXTURE_TEST_CASE(a_new_owner_counts_the_jobs_that_came_while_it_read, waiting_cell)
{
  // Read at once but for one part, which holds the reading up.
  const std::string silent = "j0";
  explored_instance& left_alone = bystander();
  cell.store().silence_parts({silent});
  cell.end_instance(*owner());
  run_for(milliseconds{1500});
  add_jobs();
  run_for(milliseconds{4000});
  BOOST_TEST_REQUIRE(owner() == nullptr);
  cell.store().silence_parts({});
  for (int i = 0; i < 400; ++i)
  {
    run_for(milliseconds{5});
    check_right_or_unknown(ask(left_alone));
  }
  BOOST_TEST(owner() != nullptr);
}

BOOST_AUTO_TEST_SUITE_END()
