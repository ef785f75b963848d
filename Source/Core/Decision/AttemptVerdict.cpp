// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Decision/AttemptVerdict.h"

#include <algorithm>

namespace yardhill::decision
{
namespace
{
bool is_idle(const member_run& member)
{
  return member.phase == member_phase::idle;
}

bool is_lost(const member_run& member)
{
  return member.lost;
}

bool ended_with(const member_run& member, attempt_result result)
{
  return member.phase == member_phase::ended && member.result == result;
}

bool is_done(const member_run& member)
{
  return ended_with(member, attempt_result::done);
}

bool is_lapsed(const member_run& member)
{
  return ended_with(member, attempt_result::lapsed);
}
} // namespace

attempt_verdict judge_attempt(const task_record& task)
{
  const std::vector<member_run>& members = task.members;
  const bool none_ran = std::ranges::all_of(members, is_idle);
  const bool all_done = !none_ran && std::ranges::all_of(members, is_done);
  if (all_done && task.spec.kind != task_kind::service)
    return attempt_verdict::done;
  if (task.stopping == stop_cause::cancelled || task.stopping == stop_cause::deadline)
    return attempt_verdict::stopped;
  if (none_ran)
    return attempt_verdict::not_started;
  if (!task.spec.repeatable)
    return std::ranges::any_of(members, is_lost) ? attempt_verdict::run_unclear
                                                 : attempt_verdict::failed_for_good;
  if (task.stopping == stop_cause::preempted)
    return attempt_verdict::preempted;
  if (std::ranges::any_of(members, is_lapsed))
    return attempt_verdict::worker_lost;
  if (task.stopping == stop_cause::member_lost && std::ranges::any_of(members, is_idle))
    return attempt_verdict::gang_member_lost;
  return attempt_verdict::failed;
}

answer done_answer(const task_record& task)
{
  answer done;
  done.result = outcome::done;
  done.waited = task.started_at - task.accepted_at;
  for (const member_run& member : task.members)
  {
    done.body += member.body;
    done.ran = std::max(done.ran, member.ran);
  }
  return done;
}

answer stopped_answer(const task_record& task)
{
  const bool cancelled = task.stopping == stop_cause::cancelled;
  answer stopped =
      refuse(task.spec.id,
             cancelled ? refusal_reason::cancelled_by_caller : refusal_reason::deadline_passed,
             "stopped while it ran", "run", duration{0});
  stopped.result = cancelled ? outcome::cancelled : outcome::failed;
  return stopped;
}

answer not_again_answer(const task_record& task, attempt_verdict verdict)
{
  answer result = unclear(task.spec.id, refusal_reason::run_unclear,
                          "its worker was lost while it ran", "run", duration{0});
  if (verdict == attempt_verdict::failed_for_good)
  {
    result.result = outcome::failed;
    result.reason = refusal_reason::attempts_exhausted;
    result.detail = "the one attempt that it may have failed";
  }
  result.peer = task.members.front().worker.value;
  return result;
}
} // namespace yardhill::decision
