// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

// Which submissions are written again, and when, while the store does not answer and after that.

#include <vector>

#include <boost/test/unit_test.hpp>

#include "Node/SubmissionQueue.h"

using namespace yardhill;
using node::submission_queue;
using std::chrono::milliseconds;

namespace
{
using tickets = std::vector<submission_queue::ticket>;

struct queue_under_test
{
  common::metrics metrics;
  submission_queue queue{metrics};
  common::time_point now{milliseconds{1000}};

  // Adds a submission that retries after 400 ms and gives up after `latest`.
  submission_queue::ticket add(std::uint32_t priority, milliseconds latest = milliseconds{2500})
  {
    const auto added = queue.add(priority, now);
    queue.wait(added, now + milliseconds{400}, now + latest);
    return added;
  }

  // The submissions due within `span`, at the times that the queue names.
  tickets due_within(milliseconds span)
  {
    const common::time_point end = now + span;
    tickets due;
    for (auto next = queue.next_due(); next && *next <= end; next = queue.next_due())
    {
      now = std::max(now, *next);
      for (const auto each : queue.take_due(now))
        due.push_back(each);
    }
    now = end;
    return due;
  }
};
} // namespace

BOOST_AUTO_TEST_SUITE(SubmissionQueueTest)

BOOST_FIXTURE_TEST_CASE(without_an_outage_each_submission_has_its_own_retry_time, queue_under_test)
{
  const auto first = add(1);
  now += milliseconds{10};
  const auto second = add(0);
  BOOST_TEST(due_within(milliseconds{389}).empty());
  BOOST_TEST(due_within(milliseconds{11}) == (tickets{first, second}));
  BOOST_TEST(metrics.value(common::counter::submissions_waited) == 0U);
  queue.remove(first, true, now);
  queue.remove(second, true, now);
  BOOST_TEST(!queue.last_outage().has_value());
}

// A peer may reach the store.
BOOST_FIXTURE_TEST_CASE(retry_times_stay_in_force_during_an_outage, queue_under_test)
{
  queue.store_lost(now);
  const auto only = add(1);
  BOOST_TEST(due_within(milliseconds{399}).empty());
  BOOST_TEST(due_within(milliseconds{1}) == (tickets{only}));
}

// Guards against urgent jobs that wait behind others when the store is back.
BOOST_FIXTURE_TEST_CASE(the_most_urgent_submissions_are_released_first, queue_under_test)
{
  queue.store_lost(now);
  const auto low = add(2);
  const auto late = add(0, milliseconds{2500});
  const auto soon = add(0, milliseconds{2000});
  const auto middle = add(1);
  queue.store_restored(40, now);
  BOOST_TEST(due_within(milliseconds{200}) == (tickets{soon, late, middle, low}));
}

// Guards against all submissions reaching the store at the same moment: the instances together may
// make 1,200 writing calls a second.
BOOST_FIXTURE_TEST_CASE(the_release_rate_is_shared_by_the_instances, queue_under_test)
{
  for (const std::size_t instances : {4U, 40U})
  {
    queue.store_lost(now);
    for (int i = 0; i < 30; ++i)
      add(0);
    queue.store_restored(instances, now);
    BOOST_TEST(queue.take_due(now).size() == 1U);
    const tickets due = due_within(milliseconds{99});
    BOOST_TEST(due.size() == (instances == 40 ? 1U : 19U)); // one every 50 ms or 5 ms
    due_within(std::chrono::seconds{3});
  }
}

// Guards against a burst after a pause of the event loop.
BOOST_FIXTURE_TEST_CASE(few_releases_are_made_up_for, queue_under_test)
{
  queue.store_lost(now);
  for (int i = 0; i < 30; ++i)
    add(0);
  queue.store_restored(4, now);
  now += milliseconds{500};
  BOOST_TEST(queue.take_due(now).size() == 11U); // those of 50 ms, and the one that is due
}

BOOST_FIXTURE_TEST_CASE(a_submission_is_released_before_it_is_too_late, queue_under_test)
{
  queue.store_lost(now);
  for (int i = 0; i < 30; ++i)
    add(0);
  const auto last = add(2, milliseconds{90});
  queue.store_restored(40, now);
  const tickets due = due_within(milliseconds{90});
  BOOST_TEST(due.size() == 3U);
  BOOST_TEST(due.back() == last);
}

BOOST_FIXTURE_TEST_CASE(submissions_after_an_outage_are_not_held_back, queue_under_test)
{
  queue.store_lost(now);
  for (int i = 0; i < 30; ++i)
    add(0);
  queue.store_restored(40, now);
  const auto later = add(1);
  BOOST_TEST(due_within(milliseconds{400}).back() == later);
}

BOOST_FIXTURE_TEST_CASE(a_new_outage_stops_the_release, queue_under_test)
{
  queue.store_lost(now);
  const auto first = add(0);
  const auto second = add(0);
  queue.store_restored(40, now);
  BOOST_TEST(queue.take_due(now) == (tickets{first}));
  queue.store_lost(now);
  queue.wait(first, now + milliseconds{480}, now + milliseconds{2500});
  queue.wait(second, now + milliseconds{480}, now + milliseconds{2500});
  BOOST_TEST(due_within(milliseconds{479}).empty());
}

BOOST_FIXTURE_TEST_CASE(an_outage_ends_with_its_last_submission, queue_under_test)
{
  queue.store_lost(now);
  const auto stored = add(0);
  const auto given_up = add(1);
  now += milliseconds{300};
  queue.remove(given_up, false, now);
  queue.store_restored(40, now);
  BOOST_TEST(!queue.last_outage().has_value());
  now += milliseconds{100};
  queue.remove(stored, true, now);
  BOOST_TEST_REQUIRE(queue.last_outage().has_value());
  BOOST_TEST(queue.last_outage()->waited == 2U);
  BOOST_TEST(queue.last_outage()->stored == 1U);
  BOOST_TEST((queue.last_outage()->longest_wait == milliseconds{400}));
  BOOST_TEST(metrics.value(common::counter::submissions_waited) == 2U);
  BOOST_TEST(metrics.value(common::counter::waited_submissions_stored) == 1U);
  BOOST_TEST(queue.empty());
}

BOOST_AUTO_TEST_SUITE_END()
