// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Decides when each worker is held: to claim it, to extend its lease, to hear news, to acknowledge
// ends. Knows which workers have left or started again, and when what ran there has surely ended.

#include "Scheduling/CrashWatch.h"
#include "Scheduling/RunTracker.h"
#include "Scheduling/SchedulerState.h"
#include "Scheduling/TakeoverAccounting.h"

namespace yardhill::scheduling
{
class worker_holder
{
public:
  worker_holder(scheduler_state& state, crash_watch& crashes, run_tracker& follower,
                takeover_accounting& accounting, copy_watch& copies);

  // A worker that an earlier owner had claimed; its entry may come later or never.
  void restore_claim(const worker_id& id, const worker_claim& claim, time_point now);
  void on_entry(const worker_info& info, time_point now);
  void on_entry_gone(const worker_id& id, time_point now);
  void on_hold(const hold_answer& answer, time_point now);
  // This owner has a newer token; workers that have started again wait for it.
  void token_given();
  // Another worker has answered a call at the worker's address: the one meant was gone.
  void on_other_worker(const worker_id& id, time_point sent, time_point now);
  // Issues the holds that are due, and gives up workers whose leases are over.
  void tick(time_point now);
  // How many workers of earlier owners have not been heard, as of the latest tick.
  std::size_t unheard() const { return m_unheard; }
  // How long ago the next hold should have gone to a worker that needs holds: more than a hold and
  // its answer take; zero if it is not overdue. A silent worker's holds are repeated in time.
  duration overdue(const worker_record& worker, time_point now) const;

private:
  worker_record& new_record(const worker_id& id, time_point now);
  void hold(worker_record& worker, time_point now);
  milliseconds hold_wait() const;
  // Whether the worker's next life, should there be one, can have no ends yet.
  bool ends_are_read(const worker_record& worker, time_point now) const;
  bool hold_due(worker_record& worker, time_point now) const;
  // A new entry names an address that other lives have had.
  void ask_others_at(const worker_info& info);
  void note_unlisted(worker_record& worker, bool heard);
  // Whether the answer is the present life's, which may have begun with it.
  bool from_present_life(worker_record& worker, const hold_answer& answer, time_point now);
  // The worker has started again: what it is told and does from now on is another life's.
  void restarted(worker_record& worker, const hold_answer& answer, time_point now);
  void begin_life(worker_record& worker, time_point now);
  void life_ended(worker_record& worker, scheduler_state::lost_runs which, const char* why,
                  time_point now);

  std::size_t m_unheard = 0;
  scheduler_state& m_state;
  crash_watch& m_crashes;
  run_tracker& m_follower;
  takeover_accounting& m_accounting;
  copy_watch& m_copies;
};
} // namespace yardhill::scheduling
