// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Why tasks that last do not run: which wait each of them is in, by the predicates that the placer,
// the takeover's accounting and the holder decide by.

#include <array>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "Scheduling/CrashWatch.h"
#include "Scheduling/Placer.h"
#include "Scheduling/SchedulerState.h"
#include "Scheduling/TakeoverAccounting.h"
#include "Scheduling/WorkerHolder.h"

namespace yardhill::scheduling
{
enum class wait_reason
{
  may_not_place,   // no task may be started in the partition
  unaccounted,     // it may run on a worker of an earlier owner that is not heard yet
  run_orphaned,    // its run was sent to an earlier life of the worker
  run_stopping,    // its run is being stopped
  run_silent,      // its run's worker does not answer
  run_unanswered,  // its start has no answer
  run_unheld,      // its run's worker is not held in time
  renewal,         // lost unheard, it needs a fresh renewal of the ownership
  gang,            // members of an earlier run have not ended
  trial_postponed, // it is suspected to crash workers
  announcement,    // its trial's announcement is not written
  begin_mark,      // it is not written that the step may run in the zone
  unplaced,        // not looked into any further
  no_worker,       // there is none, or the policy permits none
  worker_unusable, // what keeps it from the worker that would come nearest to having it
  other_zone,
  worker_unsuitable,
  no_room,
  unfit_for_trial,
  reserved,
  no_ticket,
  turn, // there is a worker for it: it waits for a pass that looks at it
  count
};

std::string_view to_text(wait_reason reason);

// The wait that a task is in.
struct task_wait
{
  wait_reason reason = wait_reason::unplaced;
  // The worker that is waited for or would come nearest, and how many there are like it.
  std::string worker;
  std::string zone;
  std::size_t workers = 0;
  duration lease_left{0}; // until the worker's lease or the owner's authority is over
  duration unheard{0};    // since the worker or the store was heard
  std::string detail;
};

class wait_report
{
public:
  // A task that has not run for so long is told.
  static constexpr std::chrono::seconds k_patience{3};
  // Of those, so many an update; the others are counted, and have their turn later.
  static constexpr std::size_t k_most_told = 10;

  wait_report(scheduler_state& state, const placer& places, const crash_watch& crashes,
              const takeover_accounting& accounting, const worker_holder& holder);

  // Called once a second.
  void update(time_point now);

  // As of the latest update.
  struct told_wait
  {
    task_ref task;
    duration lasted;
    task_wait wait;
  };
  std::size_t waiting() const { return m_waiting.size(); }
  duration longest() const;
  const std::vector<told_wait>& told() const { return m_told; }

private:
  struct waiting_task
  {
    job_record* job = nullptr;
    task_place place;
    duration lasted{0};
  };
  using check = std::optional<task_wait> (wait_report::*)(const waiting_task&, time_point) const;

  void find_waiting(job_record& job, std::uint32_t cycle, std::uint32_t step, time_point now);
  bool runs(const task_record& task, time_point now) const;
  // What is known without a look at all workers.
  task_wait wait_of(const waiting_task& which, time_point now) const;
  std::optional<task_wait> placing_ended(const waiting_task& which, time_point now) const;
  std::optional<task_wait> unaccounted(const waiting_task& which, time_point now) const;
  std::optional<task_wait> doubtful_run(const waiting_task& which, time_point now) const;
  std::optional<task_wait> kept_back(const waiting_task& which, time_point now) const;
  wait_reason doubt_about(const run_record& run, time_point now) const;
  task_wait placement(const waiting_task& which, time_point now) const;
  void tell(const waiting_task& which, time_point now);
  void tell_sum(time_point now) const;

  static const std::array<check, 4> k_checks;

  scheduler_state& m_state;
  const placer& m_placer;
  const crash_watch& m_crashes;
  const takeover_accounting& m_accounting;
  const worker_holder& m_holder;
  std::vector<waiting_task> m_waiting; // in the order of their references
  std::vector<told_wait> m_told;
  task_ref m_last_told;
};
} // namespace yardhill::scheduling
