// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

// A count of waiting jobs has to be correct or be reported as unknown. While instances were stopped
// in series, faster than a new owner could read its rows, two instances that had been up for long
// reported that no job of a queue waited, although twelve had waited for 5 s. Each takeover wrote
// its predecessor's counts without their age, so that readers of the row took them for new. An
// owner that had just read its rows also left out the jobs that had been submitted while it read.
// To reproduce this, a test stops each owner before it has read anything and queries an instance
// that stays up.

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
constexpr std::uint64_t k_job_count = 20;
constexpr const char* k_owner_row_part = "cell";

// An instance's reply to a query for the plain queue's count.
struct count_reply
{
  unsigned status = 0; // 0: no reply yet
  std::uint64_t pending = 0;
  bool has_retry_after = false;
};

// A cell with jobs that wait, since no worker has the label that they require.
struct waiting_cell
{
  explored_cell cell{k_seed};

  waiting_cell() { run_for(seconds{3}); }

  void run_for(milliseconds span) { cell.time().run_until(cell.time().now() + span); }

  void add_jobs()
  {
    for (std::uint64_t i = 0; i < k_job_count; ++i)
    {
      jobs::accepted_job job;
      job.id = "00000000000000" + std::to_string(10 + i);
      job.queue = "plain";
      job.home = k_owner_row_part;
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

  explored_instance& non_owner()
  {
    explored_instance* const owning = owner();
    for (explored_instance& each : cell.instances())
    {
      if (each.up() && &each != owning)
        return each;
    }
    throw std::logic_error("no instance is up beside the owner");
  }

  // Queries the count and runs the cell for 5 ms, within which the reply has to arrive.
  count_reply query_count(explored_instance& which)
  {
    const auto reply = std::make_shared<count_reply>();
    which.time->schedule(
        common::duration{0},
        [&which, reply]
        {
          which.core->handle(
              {http::method::get, model::k_host, model::k_plain_prefix, "", {"3000"}},
              [reply](const http::outgoing_reply& answer) { read_reply(*reply, answer); });
        });
    run_for(milliseconds{5});
    return *reply;
  }

  static void read_reply(count_reply& reply, const http::outgoing_reply& answer)
  {
    reply.status = answer.status;
    if (answer.status == 200)
      reply.pending = nlohmann::json::parse(answer.body).at(adapter::wire::k_pending);
    for (const auto& [name, value] : answer.headers)
      reply.has_retry_after = reply.has_retry_after || name == "Retry-After";
  }
};

void check_correct_or_unknown(const count_reply& reply)
{
  BOOST_TEST(reply.status != 0U);
  if (reply.status == 200)
    BOOST_TEST(reply.pending == k_job_count);
  else
    BOOST_TEST((reply.status == 503 && reply.has_retry_after), "status " << reply.status);
}
} // namespace

BOOST_AUTO_TEST_SUITE(PendingCountsTest)

BOOST_FIXTURE_TEST_CASE(any_instance_counts_waiting_jobs, waiting_cell)
{
  add_jobs();
  run_for(seconds{2});
  for (explored_instance& each : cell.instances())
  {
    const count_reply reply = query_count(each);
    BOOST_TEST(reply.status == 200U);
    BOOST_TEST(reply.pending == k_job_count);
  }
}

BOOST_FIXTURE_TEST_CASE(owners_lost_in_series_pass_on_no_outdated_count, waiting_cell)
{
  add_jobs();
  explored_instance& undisturbed = cell.instances().front();
  const common::time_point end = cell.time().now() + seconds{10};
  while (cell.time().now() < end)
  {
    explored_instance* const owning = owner();
    if (owning != nullptr)
    {
      BOOST_TEST_REQUIRE(owning != &undisturbed);
      cell.end_instance(*owning);
      run_for(milliseconds{200});
      cell.start_instance(*owning);
    }
    run_for(milliseconds{25});
    if (end - cell.time().now() < seconds{5})
      check_correct_or_unknown(query_count(undisturbed));
  }
}

BOOST_FIXTURE_TEST_CASE(an_instance_that_has_read_no_owner_row_reports_no_count, waiting_cell)
{
  add_jobs();
  run_for(seconds{6});
  explored_instance& fresh = non_owner();
  cell.end_instance(fresh);
  cell.store().silence_parts({k_owner_row_part});
  cell.start_instance(fresh);
  run_for(milliseconds{500});
  check_correct_or_unknown(query_count(fresh));
}

BOOST_FIXTURE_TEST_CASE(a_count_that_cannot_be_renewed_soon_becomes_unknown, waiting_cell)
{
  cell.store().silence_parts({k_owner_row_part});
  run_for(milliseconds{50});
  add_jobs();
  run_for(milliseconds{2600});
  BOOST_TEST_REQUIRE(owner() != nullptr);
  check_correct_or_unknown(query_count(non_owner()));
  // The owner knows the jobs; it only cannot write the count to the store.
  BOOST_TEST(query_count(*owner()).pending == k_job_count);
}

// The commit in flight is sent again unchanged once the store answers.
BOOST_FIXTURE_TEST_CASE(a_count_written_late_keeps_its_age, waiting_cell)
{
  cell.store().silence_parts({k_owner_row_part});
  run_for(milliseconds{600});
  add_jobs();
  run_for(milliseconds{2000});
  explored_instance& asked = non_owner();
  cell.store().silence_parts({});
  for (int i = 0; i < 200; ++i)
  {
    run_for(milliseconds{5});
    check_correct_or_unknown(query_count(asked));
  }
}

BOOST_FIXTURE_TEST_CASE(a_new_owner_counts_the_jobs_submitted_while_it_reads, waiting_cell)
{
  // All parts can be read at once except this one, which delays the new owner.
  const std::string silent = "j0";
  explored_instance& undisturbed = non_owner();
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
    check_correct_or_unknown(query_count(undisturbed));
  }
  BOOST_TEST(owner() != nullptr);
}

BOOST_AUTO_TEST_SUITE_END()
