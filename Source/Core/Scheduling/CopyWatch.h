// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// For tasks of speculative steps, which may run in several copies at once: while the start request
// of another run of the task may still be carried out, the end of the first run is neither
// acknowledged to its worker nor shown to callers. The end is written, and used for placement, at
// once.
//
// The end of a run of which a copy of the own start request is unanswered is kept as well, for as
// long as the copy may arrive, unless this keeps the worker from listing later ends.
//
// A start request can no longer be carried out once its worker has answered the run's stop request,
// has listed the run as running or ended, or once the worker's incarnation has ended or the lease
// of the start request has expired.

#include <set>
#include <string>

#include "Scheduling/SchedulerState.h"
#include "Scheduling/TakeoverAccounting.h"

namespace yardhill::scheduling
{
class copy_watch
{
public:
  copy_watch(scheduler_state& state, const takeover_accounting& accounting)
      : m_state(state), m_accounting(accounting)
  {
  }

  // Keeps the listed end from being acknowledged while another run of the task may still begin, and
  // until `copies_until`, the time by which all copies of the run's own start request have been
  // carried out.
  void record_end(worker_record& worker, const listed_end& end, time_point copies_until,
                  time_point now);
  // The highest end that may be acknowledged; the worker then forgets all ends up to it.
  end_number acknowledgeable(worker_record& worker, time_point now) const;
  // Completes a job of which all tasks are done: at once, or as soon as no copy may begin any more.
  void complete(job_record& job, time_point now);
  // Completes the jobs that an earlier owner had not completed before it was replaced, although all
  // their tasks were done.
  void restored(time_point now);
  void tick(time_point now);

private:
  bool copy_may_begin(const job_record& job, const task_place& place) const;
  bool any_copy_may_begin(const job_record& job) const;

  scheduler_state& m_state;
  const takeover_accounting& m_accounting;
  std::set<std::string> m_completing; // ids of jobs that wait for their copies
};
} // namespace yardhill::scheduling
