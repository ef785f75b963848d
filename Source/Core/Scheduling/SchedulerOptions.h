// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Time-outs, intervals and limits of a partition's scheduler, each with the reason for its value.

#include <algorithm>

#include "Common/Time.h"
#include "Jobs/JobSpec.h"
#include "Jobs/ProgressRows.h"
#include "Scheduling/StartBudget.h"

namespace yardhill::scheduling
{
using common::duration;

struct scheduler_options
{
  // This partition's share of the tasks of jobs that all partitions run together.
  jobs::task_share share;
  // Limits of the rows that hold a job's progress.
  jobs::row_limits rows;
  // How many bytes the rows of one commit may take in the call to the store, unless a single entry
  // takes more. The platform accepts 1 MB, of which the owner's row takes a part.
  std::size_t max_commit_bytes = 800'000;
  // A run ends by itself this long after its worker last heard from the owner. The lease has to
  // cover a takeover (3 s of silence and half a second of work), and a task that was lost with its
  // worker waits for its end. The platform's bound is 10 s.
  duration task_lease = std::chrono::milliseconds{7500};
  // Workers' clocks may run slow by this fraction (the platform's bound).
  double clock_drift = 0.02;
  // Added to each computed end of a lease: covers a message's transit time and the worker's own
  // reaction time.
  duration lease_slack = std::chrono::milliseconds{150};
  // A hold waits at the worker for updates for this long. This is also the interval at which leases
  // are extended, and the time in which a silent worker is noticed to which nothing else is sent.
  // With many workers most of an owner's calls are holds (1,100 of 1,750 a second at 1,100
  // workers), so holds then wait longer: hold_wait_per_worker limits them to 500 a second, as far
  // as max_hold_wait allows. The platform's bound for the wait is 2 s.
  duration hold_wait = std::chrono::milliseconds{1000};
  duration hold_wait_per_worker = std::chrono::milliseconds{2};
  duration max_hold_wait = std::chrono::milliseconds{2000};
  // While ends wait to be written, leases are still extended at this interval.
  duration hold_refresh = std::chrono::milliseconds{700};
  // Ends are acknowledged only within this time (or the request timeout, if that is longer) of the
  // worker's latest lists. The worker may have restarted under its id since, and the ends of the
  // new incarnation bear the same numbers; but no task that it may have started ends sooner than
  // this, nor sooner than replies arrive.
  duration max_list_age = std::chrono::milliseconds{250};
  // Nothing is started on a worker whose incarnation was last confirmed longer ago than this (or
  // than the request timeout, if that is longer): the next one may be smaller.
  duration max_confirmation_age = std::chrono::milliseconds{500};
  // A worker that is asked before a start which incarnation is there is passed over once it has not
  // answered for this long, or for two round trips if those take longer.
  duration confirmation_patience = std::chrono::milliseconds{50};
  // A worker that has not answered its first hold is asked again after this time, since tasks wait
  // for its answer after a takeover.
  duration first_hold_retry = std::chrono::milliseconds{50};
  // A worker that did not answer a later hold is asked again after this time.
  duration hold_retry = std::chrono::milliseconds{250};
  // The claim of a worker is closed once the worker has been silent for this long, which is two
  // holds without an answer.
  duration close_claim_after = std::chrono::milliseconds{700};
  // For a worker that an earlier owner had claimed and that has not answered the present owner for
  // this long, the claim states at once when all runs there will have ended, provided that no more
  // than max_early_stated_ends such workers are unheard. An owner may be replaced before
  // close_claim_after has passed, and each owner that states no end makes its successor wait for
  // the full leases again.
  duration state_end_after = std::chrono::milliseconds{150};
  std::size_t max_early_stated_ends = 32;
  // A worker that neither has an entry in the store any more nor answers is asked for this long
  // whether it is still there: entries lapse 4.5 s after a zone became isolated, and isolations
  // last up to 12 s at the sites.
  duration unlisted_timeout = std::chrono::milliseconds{8000};
  // Start and stop requests without an answer are sent again after this time.
  duration request_retry = std::chrono::milliseconds{300};
  // While answers are slow, requests are sent again after the request timeout instead, which
  // doubles with each copy, at most this many times.
  unsigned max_retry_doublings = 3;
  // A start request without an answer may be carried out this long after it was sent, even by the
  // worker's next incarnation. The platform says "seconds later" and gives no bound.
  duration late_start_window = std::chrono::seconds{12};
  // A silent worker whose next incarnation may carry out a late start is asked at this interval.
  duration late_start_probe = std::chrono::milliseconds{100};
  // A worker that refused a start as unhealthy gets no starts for this time.
  duration unhealthy_pause = std::chrono::milliseconds{1000};
  // A worker that rejected a start for lack of free capacity gets no starts for this time: this
  // owner's record of what runs there differs from the worker's own.
  duration no_room_pause = std::chrono::milliseconds{300};
  // A worker on which this many runs in a row have failed gets no starts for failing_pause.
  unsigned failures_to_pause = 3;
  duration failing_pause = std::chrono::seconds{4};
  // Runs that had lived longer than the youngest run by more than this are not blamed for a crash
  // of their worker: after the start that crashes it, a worker is heard once more or not at all.
  duration crash_blame_margin = std::chrono::milliseconds{50};
  // A worker that falls silent within this time of a start may have been crashed by that start. The
  // time covers the request's transit, the crash, and the reset of the connections.
  duration crash_at_start_window = std::chrono::milliseconds{100};
  // For this long after its start, a run of a suspected task may still crash its worker. Tasks that
  // crash their workers do so at their start; at the sites a worker gets two other starts a second
  // meanwhile.
  duration crash_trial_time = std::chrono::milliseconds{1000};
  // A suspected task waits this long for a worker that is fit for its trial. This is well within
  // the 3 s in which the platform expects a task to begin for which there is free capacity.
  duration crash_trial_timeout = std::chrono::milliseconds{1500};
  // A run that has lasted this long is taken not to crash its worker.
  duration crash_survival_time = std::chrono::seconds{10};
  // The loss of a worker is no evidence against a task while at least min_background_losses other
  // workers, and at least one in background_share_divisor of all workers, were lost within
  // background_window or have been silent for no longer than background_silence. At a lower share,
  // a task that crashes nothing is lost with its worker by chance in two trials in a row less than
  // once in 64 times.
  duration background_window = std::chrono::seconds{4};
  duration background_silence = std::chrono::seconds{10};
  std::size_t min_background_losses = 2;
  // Where workers were lost by chance, a worker's incarnation that is younger than this may be
  // about to end for the same reason as its predecessor, so a trial there says less about the task.
  duration steady_incarnation_age = std::chrono::seconds{5};
  // No loss of a worker decides about a task before this time has passed, since the losses of
  // workers that crash together are noticed within this time of each other. It covers a request's
  // transit, the repetition of the request, and two holds without an answer.
  duration conviction_delay = std::chrono::milliseconds{1500};
  // See background_window.
  std::size_t background_share_divisor = 8;
  // A task of a speculative step gets a second run when its worker has been silent for this long,
  // or when its run takes longer than sound runs do (see runtime_model).
  duration copy_after_silence = std::chrono::milliseconds{400};
  // A worker with this many overdue runs counts as slow and gets no starts for slow_pause, if other
  // workers have free capacity.
  std::size_t overdue_runs_to_avoid = 2;
  duration slow_pause = std::chrono::milliseconds{1000};
  // A draining worker goes on running its tasks for at least this long (the platform's drain_ms),
  // so runs that should end sooner stay there.
  duration min_drain_time = std::chrono::milliseconds{2000};
  // The longest time from the stop request for a task until the task has begun on another worker:
  // the longest stop (900 ms) and two answers. Until then no other task is moved to that worker.
  duration move_time = std::chrono::milliseconds{1100};
  // A worker becomes unresponsive after this many start and stop requests in a row without an
  // answer, or after a single such hold.
  unsigned unanswered_to_suspect = 2;
  // After this many start and stop requests in a row that no worker of a zone has answered, the
  // zone seems isolated, and nothing is started there until one of its workers is heard. Where a
  // fifth of all answers is lost (the most at the sites), this happens by chance once in 600
  // requests, and lasts until the next hold is answered.
  unsigned unanswered_to_leave_zone = 4;
  // Once no further request to a worker of the zone has gone unanswered for this long, the zone is
  // tried again: the workers that did not answer may be gone, and nothing is sent to other workers
  // of the zone whose answer would show that it is reachable.
  duration zone_retry = std::chrono::seconds{2};
  // A task whose run was given up without word from its worker is started again only while the
  // latest renewal of the ownership is no older than this. No instance takes the partition over
  // within 0.8 s of a renewal, so no other owner can have heard how that run ended.
  duration max_renewal_age = std::chrono::milliseconds{650};
  // The ids of ended jobs are remembered for this long, so that a late notice of a job, or a read
  // of the store that began before the job's end, does not start it again. This is far longer than
  // any call may take.
  duration remember_ended = std::chrono::minutes{5};
  // A job that would be in time even if a zone were isolated for this long uses the workers of all
  // zones. Isolations of a zone last 4 to 6 s at the sites.
  duration max_zone_isolation = std::chrono::milliseconds{6000};
  // A request for advice that was not answered is repeated after this time.
  duration advice_retry = std::chrono::milliseconds{200};
  // A ticket is not used in this last part of its lifetime, since the start has to reach the worker
  // before the ticket expires.
  duration ticket_margin = std::chrono::milliseconds{150};
  // Advice for a step is requested before that for more urgent steps once this much time has passed
  // since it was last requested or the job was accepted. Without this rule, late jobs waited 45 s
  // for their first request, with free capacity all the time (LateAdviceTest); the platform expects
  // a task for which there is free capacity to begin within 3 s.
  duration max_advice_turn_wait = std::chrono::milliseconds{2000};
  // Advice for a step is requested when the steps that it depends on should end within this time.
  duration advice_ahead = std::chrono::milliseconds{1200};
  // The most workers named in one advice call (the platform's bound).
  std::size_t max_advice_workers = 100;
  // Workers that can take no task now are named only up to this many in all: what an answer says of
  // them is of use only later.
  std::size_t max_full_advice_workers = 24;
  // A call should bring tickets for this many times the tasks that wait, since other steps may use
  // up some workers before the answer arrives.
  double advice_margin = 1.25;
  // In each pass, workers to name are searched for in vain for at most this many steps, in the
  // order of the steps, since each search looks at all workers.
  std::size_t max_vain_searches = 32;
  // The overdue steps, the longest wait first, for which a pass tries to find workers to name.
  std::size_t max_overdue_tries = 8;
  // After each reply in a row that let no task start, the next call should bring twice as many, as
  // each call takes a fixed time that is far longer than that of a further worker.
  unsigned max_advice_doublings = 5;

  // Time between two passes; events that arrive meanwhile are processed together. A pass examines
  // every worker and run, which takes some 0.3 us for a worker with three tasks
  // (yardhill-pass-benchmark), so the time between passes grows with the number of workers. At
  // 1,100 workers the passes take a fiftieth of a core instead of a tenth, and a start waits 11 ms
  // longer at most.
  duration min_pass_spacing = std::chrono::milliseconds{4};
  duration pass_spacing_per_worker = std::chrono::microseconds{14};
  // For each waiting step that the latest pass examined.
  duration pass_spacing_per_step = std::chrono::microseconds{50};
  // In each pass, a queue's steps are examined in order of urgency until this many have found no
  // free capacity. The steps behind these are divided into windows of backlog_window steps, and
  // each window is examined in one of backlog_rotation_passes passes. The first steps can use all
  // advice calls that can be in flight at once (some 200 at 147 instances).
  std::size_t blocked_steps_per_pass = 200;
  std::size_t backlog_window = 50;
  std::size_t backlog_rotation_passes = 16;
  // One pass in this many is a survey: it also looks for runs that are late, silent or to be moved.
  unsigned passes_per_survey = 4;
  // In a partition with at most this many workers, each pass is a survey.
  std::size_t small_partition = 100;

  // How starts are paced while the event loop is late.
  start_budget_options starts;

  // A start of a speculative step that arrives later than this after it was sent has no effect.
  // This is within the second for which the platform tolerates a copy of a task that is done.
  duration start_validity = std::chrono::milliseconds{900};
  // Where answers are slow, starts are delayed on their way as well, so a start is valid for at
  // least this many request timeouts. A start that was turned away would be sent once more over a
  // link that is already full.
  int start_validity_timeouts = 3;
  // The platform shortens each lease to at most this time.
  duration platform_max_lease = std::chrono::seconds{10};

  // The longest time, on this instance's clock, that a lease granted now can last.
  duration max_lease() const { return with_clock_drift(task_lease); }
  // The same for a lease whose end was given on a clock other than the worker's present one, so
  // that only the platform's limit bounds it.
  duration max_lease_of_others() const { return with_clock_drift(platform_max_lease); }
  // How long after it was sent a start is valid at the given request timeout.
  duration start_validity_at(duration request_timeout) const
  {
    return std::max(start_validity, start_validity_timeouts * request_timeout);
  }

private:
  duration with_clock_drift(duration lease) const
  {
    return std::chrono::duration_cast<duration>(lease * (1.0 + clock_drift)) + lease_slack;
  }
};
} // namespace yardhill::scheduling
