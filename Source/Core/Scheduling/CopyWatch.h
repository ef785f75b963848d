// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Tasks that may run in copies: the end of one run is neither acknowledged to its worker nor shown
// to callers while the start of another run may still be carried out. Such an end is written and
// counts for placing at once.
//
// A start is void once its worker has answered the run's stop, has listed the run or ended it, or
// its life or the start's lease is over.

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

  // The worker has listed this end, after which no run of the task may begin.
  void note_end(worker_record& worker, const listed_end& end, time_point now);
  // Up to which end the worker may be told to forget its ends.
  end_number acknowledgeable(worker_record& worker, time_point now) const;
  // All tasks of the job are done. It is completed at once, or when no copy may begin any more.
  void complete(job_record& job, time_point now);
  // An earlier owner may have been replaced before it completed its jobs.
  void restored(time_point now);
  void tick(time_point now);

private:
  bool may_begin(const job_record& job, const task_place& place) const;
  bool any_may_begin(const job_record& job) const;

  scheduler_state& m_state;
  const takeover_accounting& m_accounting;
  std::set<std::string> m_completing; // jobs
};
} // namespace yardhill::scheduling
