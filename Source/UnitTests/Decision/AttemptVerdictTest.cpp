// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

// Tests the verdict on an attempt for each way in which its members can end.

#include <vector>

#include <boost/test/unit_test.hpp>

#include "Decision/AttemptVerdict.h"

using namespace yardhill::decision;

namespace
{
member_run ended_member(attempt_result result, bool lost = false)
{
  member_run member;
  member.phase = member_phase::ended;
  member.result = result;
  member.lost = lost;
  return member;
}

task_record task_of(std::vector<member_run> members, stop_cause stopping = stop_cause::none)
{
  task_record task;
  task.spec.kind = task_kind::batch;
  task.spec.repeatable = true;
  task.members = std::move(members);
  task.stopping = stopping;
  return task;
}

bool has_verdict(const task_record& task, attempt_verdict verdict)
{
  return judge_attempt(task) == verdict;
}

const member_run k_done = ended_member(attempt_result::done);
const member_run k_failed = ended_member(attempt_result::failed);
const member_run k_stopped = ended_member(attempt_result::stopped);
const member_run k_lapsed = ended_member(attempt_result::lapsed, true);
} // namespace

BOOST_AUTO_TEST_SUITE(AttemptVerdictTest)

BOOST_AUTO_TEST_CASE(every_member_has_to_be_done)
{
  BOOST_TEST(has_verdict(task_of({k_done, k_done}), attempt_verdict::done));
  BOOST_TEST(has_verdict(task_of({k_done, k_failed}), attempt_verdict::failed));
}

BOOST_AUTO_TEST_CASE(a_service_is_never_done)
{
  task_record service = task_of({k_done});
  service.spec.kind = task_kind::service;
  BOOST_TEST(has_verdict(service, attempt_verdict::failed));
}

BOOST_AUTO_TEST_CASE(a_completion_before_the_stop_counts)
{
  BOOST_TEST(has_verdict(task_of({k_done}, stop_cause::cancelled), attempt_verdict::done));
  BOOST_TEST(has_verdict(task_of({k_stopped}, stop_cause::cancelled), attempt_verdict::stopped));
  BOOST_TEST(has_verdict(task_of({k_stopped}, stop_cause::deadline), attempt_verdict::stopped));
}

BOOST_AUTO_TEST_CASE(a_task_that_may_run_once_is_tried_again_only_if_it_never_ran)
{
  task_record once = task_of({k_lapsed});
  once.spec.repeatable = false;
  BOOST_TEST(has_verdict(once, attempt_verdict::run_unclear));
  once.members = {k_failed};
  BOOST_TEST(has_verdict(once, attempt_verdict::failed_for_good));
  once.members = {member_run{}};
  BOOST_TEST(has_verdict(once, attempt_verdict::not_started));
}

BOOST_AUTO_TEST_CASE(preemption_and_worker_loss_are_not_judged_as_failures)
{
  BOOST_TEST(has_verdict(task_of({k_stopped}, stop_cause::preempted), attempt_verdict::preempted));
  BOOST_TEST(has_verdict(task_of({k_lapsed}), attempt_verdict::worker_lost));
  BOOST_TEST(has_verdict(task_of({k_stopped, member_run{}}, stop_cause::member_lost),
                         attempt_verdict::gang_member_lost));
}

BOOST_AUTO_TEST_SUITE_END()
