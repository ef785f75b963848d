// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Times and bounds of a partition's scheduler, each with where its figure comes from.

#include <algorithm>

#include "Common/Time.h"
#include "Jobs/JobSpec.h"
#include "Scheduling/StartBudget.h"

namespace yardhill::scheduling
{
using common::duration;

struct scheduler_options
{
  // Of the tasks of jobs that all partitions run.
  jobs::task_share share;
  // What runs on a worker ends by itself this long after its owner was last heard. It has to cover
  // a takeover (3 s of silence and half a second of work) and is what a task lost with its worker
  // waits for. The platform's bound is 10 s.
  duration task_lease = std::chrono::milliseconds{7500};
  // Workers' clocks may run this much slow (the platform's bound).
  double clock_drift = 0.02;
  // Added to each computed end of a lease: a message's way and the worker's own reaction.
  duration lease_slack = std::chrono::milliseconds{150};
  // A hold waits this long at the worker for news; also how often leases are extended, and when a
  // silent worker is noticed that nothing else is sent to. With many workers these calls are most
  // of an owner's (1,100 of 1,750 a second at 1,100 workers), so they wait longer: no more than 500
  // a second. The platform's bound is 2 s.
  duration hold_wait = std::chrono::milliseconds{1000};
  duration hold_wait_per_worker = std::chrono::milliseconds{2};
  duration max_hold_wait = std::chrono::milliseconds{2000};
  // While ends wait to be written, leases are still extended this often.
  duration hold_refresh = std::chrono::milliseconds{700};
  // No task that a life of which nobody knows may have begun ends sooner, or sooner than answers
  // come: ends are acknowledged within this time of the worker's lists.
  duration max_list_age = std::chrono::milliseconds{250};
  // A worker that has not answered its first hold is asked again after this time: after a takeover
  // tasks wait for it.
  duration first_hold_retry = std::chrono::milliseconds{50};
  // A worker that did not answer is asked again after this time.
  duration hold_retry = std::chrono::milliseconds{250};
  // A worker silent for this long gets a closed claim: two holds without an answer.
  duration close_claim_after = std::chrono::milliseconds{700};
  // A worker that an earlier owner had claimed, and that has not answered for this long, gets its
  // claim's end stated at once, as long as these are few: an owner may not live for the time above,
  // and each one that states none makes its successor count anew.
  duration state_end_after = std::chrono::milliseconds{150};
  std::size_t max_early_stated_ends = 32;
  // A worker whose entry has gone, and that does not answer either, is asked for so long: entries
  // lapse 4.5 s into a cut, and cuts last up to 12 s at the sites.
  duration unlisted_timeout = std::chrono::milliseconds{8000};
  // Starts and stops without an answer are sent again after this time.
  duration request_retry = std::chrono::milliseconds{300};
  // While answers are slow that time doubles with each copy, so often at most.
  unsigned max_retry_doublings = 3;
  // A worker that refused a start as unhealthy gets none for this time.
  duration unhealthy_pause = std::chrono::milliseconds{1000};
  // A worker that rejected a start for want of room (our ledger differs from its own).
  duration no_room_pause = std::chrono::milliseconds{300};
  // Several runs in a row that failed on one worker keep it out of use for a time.
  unsigned failures_to_pause = 3;
  duration failing_pause = std::chrono::seconds{4};
  // A worker is heard once more after the start that crashes it, or not at all: runs that lived so
  // much longer than the youngest one are not blamed for a crash.
  duration crash_blame_margin = std::chrono::milliseconds{50};
  // A worker that falls silent within this time of a start may have been crashed by it: the order's
  // way, the crash, and the reset of the connections.
  duration crash_at_start_window = std::chrono::milliseconds{100};
  // So long after its start a run is suspected to crash its worker still. Tasks that do so do it at
  // their start; at the sites a worker gets two other starts a second meanwhile.
  duration crash_trial_time = std::chrono::milliseconds{1000};
  // A suspected task waits so long for a worker that is fit for its trial, well within the 3 s in
  // which the platform expects a task to begin that has room.
  duration crash_trial_timeout = std::chrono::milliseconds{1500};
  // After so long a run has not crashed its worker.
  duration crash_survival_time = std::chrono::seconds{10};
  // A worker's loss is no evidence against a task while this many others, and one in so many of
  // all, are lost within the window or have been silent for no longer than that. At a lower share a
  // task that crashes nothing is lost with its worker by chance at two trials in a row less than
  // once in 64 times.
  duration background_window = std::chrono::seconds{4};
  duration background_silence = std::chrono::seconds{10};
  std::size_t min_background_losses = 2;
  // Where workers were lost by chance, a life that is younger may be about to end for the same
  // reason as the one before, so a trial there tells less.
  duration steady_incarnation_age = std::chrono::seconds{5};
  // Workers that fall together are noticed within this time of each other: until then no loss
  // decides about a task. It covers an order's way, its repeat and the silence of two holds.
  duration conviction_delay = std::chrono::milliseconds{1500};
  std::size_t background_share_divisor = 8;
  // A speculative step's task gets a second run when its worker has been silent for this long ...
  duration copy_after_silence = std::chrono::milliseconds{400};
  // ... or when it takes longer than sound runs do (see runtime_model). A worker with this many
  // such runs counts as slow and gets no starts for the time below, if others have room.
  std::size_t overdue_runs_to_avoid = 2;
  duration slow_pause = std::chrono::milliseconds{1000};
  // A worker that drains serves on for at least this long (the platform's drain_ms), so what should
  // end sooner stays there.
  duration min_drain_time = std::chrono::milliseconds{2000};
  // From ordering a task's stop until it has begun elsewhere: the longest stop (900 ms) and two
  // answers. Until then nothing else is moved to the same worker.
  duration move_time = std::chrono::milliseconds{1100};
  // Calls in a row without an answer that make a worker suspect; a hold without one does at once.
  unsigned unanswered_to_suspect = 2;
  // Orders in a row that none of a zone's workers has answered: it seems cut off, and nothing is
  // started there until one of them is heard. Where a fifth of all answers is lost (the most at the
  // sites) that happens by chance once in 600 orders, and lasts until the next hold's answer.
  unsigned unanswered_to_leave_zone = 4;
  // After so long without another such order the zone is tried again: those that did not answer
  // may be gone, and nobody else there is asked anything.
  duration zone_retry = std::chrono::seconds{2};
  // A task whose run was given up unheard is started again only while the latest renewal is this
  // fresh: no instance takes over within 0.8 s of one, so none has heard of that run's end.
  duration max_renewal_age = std::chrono::milliseconds{650};
  // The ids of ended jobs are remembered this long, so that a late notice or a reading that began
  // before their end does not start them again: far longer than any call may take.
  duration remember_ended = std::chrono::minutes{5};
  // A job that would be in time even if a zone were cut off for so long uses all workers: cuts at
  // the sites last 4 to 6 s.
  duration max_zone_isolation = std::chrono::milliseconds{6000};
  // Advice without an answer is asked for again after this time.
  duration advice_retry = std::chrono::milliseconds{200};
  // A ticket is not used in the last part of its life: the start has to arrive in time.
  duration ticket_margin = std::chrono::milliseconds{150};
  // A step that has waited so long since it was last asked about has its turn before more urgent
  // ones. Without it late jobs were asked about 45 s after they came, with room for them all the
  // time (LateAdviceTest); the platform expects a task that has room to begin within 3 s.
  duration max_advice_turn_wait = std::chrono::milliseconds{2000};
  // Advice for a step is asked for when what it depends on should end within this time.
  duration advice_ahead = std::chrono::milliseconds{1200};
  // The most workers named in one call for advice: of 24, about 8 are permitted at the sites'
  // strictest queues, and naming more costs up to 6.5 ms each. The platform's bound is 100.
  std::size_t max_advice_workers = 24;

  // From one pass to the next. Events that come meanwhile are worked off together. A pass looks at
  // every worker and run, some 0.3 us a worker with three tasks (yardhill-pass-benchmark), so the
  // time between passes follows from the workers: at 1,100 they take a fiftieth of a core instead
  // of a tenth, and a start waits 11 ms longer at most.
  duration min_pass_spacing = std::chrono::milliseconds{4};
  duration pass_spacing_per_worker = std::chrono::microseconds{14};
  duration pass_spacing_per_step = std::chrono::microseconds{50}; // that waits and was looked at
  // Of a queue, so many steps that find no room are looked at in each pass, in order of urgency; of
  // those behind them a window of so many at a time, each in one of so many passes. The advice that
  // can be under way at once (some 200 calls at 147 instances) is what the first ones can use.
  std::size_t blocked_steps_per_pass = 200;
  std::size_t backlog_window = 50;
  std::size_t backlog_rotation_passes = 16;
  // Runs that are late, silent or to be moved are looked for this many passes apart.
  unsigned passes_per_survey = 4;
  // A partition of so many workers is small: each of its passes is a survey.
  std::size_t small_partition = 100;

  // How starts are paced while the event loop is late.
  start_budget_options starts;

  // A start of a step with copies that arrives later than this after it was sent does nothing: it
  // is within the second in which the platform bears a copy of a task that is done.
  duration start_validity = std::chrono::milliseconds{900};
  // Where answers are slow, starts wait for their way as well; turned away, they would be sent once
  // more over a link that is full already.
  int start_validity_timeouts = 3;
  // The platform cuts each lease to this.
  duration platform_max_lease = std::chrono::seconds{10};

  // On our own clock, the most that a lease given now can last, and one of an order that was given
  // on another clock.
  duration max_lease() const { return drifted(task_lease); }
  duration max_lease_of_others() const { return drifted(platform_max_lease); }
  // How long a start is good while answers are waited for so long.
  duration start_validity_at(duration patience) const
  {
    return std::max(start_validity, start_validity_timeouts * patience);
  }

private:
  duration drifted(duration lease) const
  {
    return std::chrono::duration_cast<duration>(lease * (1.0 + clock_drift)) + lease_slack;
  }
};
} // namespace yardhill::scheduling
