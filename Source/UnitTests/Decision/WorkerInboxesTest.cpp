// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

// Tests up to which ended attempt an owner may acknowledge a worker's reports.

#include <boost/test/unit_test.hpp>

#include "Decision/WorkerInboxes.h"

using namespace yardhill::decision;

namespace
{
const worker_id k_worker{"w1"};

ended_attempt ended(std::uint64_t sequence, const std::string& task)
{
  ended_attempt attempt;
  attempt.sequence = sequence;
  attempt.id.task = task_id{task};
  return attempt;
}

struct one_worker
{
  one_worker()
  {
    inboxes.set_boot(k_worker, "boot-1");
    inboxes.record_ended(k_worker, ended(1, "a"));
    inboxes.record_ended(k_worker, ended(2, "b"));
  }

  worker_inboxes inboxes;
};
} // namespace

BOOST_AUTO_TEST_SUITE(WorkerInboxesTest)

BOOST_FIXTURE_TEST_CASE(an_ended_attempt_is_recorded_once, one_worker)
{
  BOOST_TEST(!inboxes.record_ended(k_worker, ended(2, "b")));
  BOOST_TEST(inboxes.record_ended(k_worker, ended(3, "c")));
}

BOOST_FIXTURE_TEST_CASE(nothing_behind_an_unsettled_end_is_acknowledged, one_worker)
{
  BOOST_TEST(inboxes.settled_up_to(k_worker) == 0U);
  inboxes.settle(k_worker, task_id{"b"});
  BOOST_TEST(inboxes.settled_up_to(k_worker) == 0U);
  inboxes.settle(k_worker, task_id{"a"});
  BOOST_TEST(inboxes.settled_up_to(k_worker) == 2U);
}

BOOST_FIXTURE_TEST_CASE(another_boot_counts_from_the_beginning, one_worker)
{
  inboxes.set_boot(k_worker, "boot-2");
  BOOST_TEST(inboxes.settled_up_to(k_worker) == 0U);
  BOOST_TEST(inboxes.record_ended(k_worker, ended(1, "d")));
}

BOOST_AUTO_TEST_SUITE_END()
