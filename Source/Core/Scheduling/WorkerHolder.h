// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Decides when a hold is sent to each worker. A hold claims the worker for this owner, extends the
// lease of its runs, asks for updates of its lists and acknowledges ends. From the answers, and
// from the workers' entries in the store, the class also tells which workers have left or
// restarted, and by when their runs must have ended.

#include "Scheduling/CrashWatch.h"
#include "Scheduling/RunTracker.h"
#include "Scheduling/SchedulerState.h"
#include "Scheduling/TakeoverAccounting.h"

namespace yardhill::scheduling
{
class worker_holder
{
public:
  worker_holder(scheduler_state& state, crash_watch& crashes, run_tracker& tracker,
                takeover_accounting& accounting, copy_watch& copies);

  // Adds a worker that an earlier owner had claimed. Its entry may be read later or never.
  void restore_claim(const worker_id& id, const worker_claim& claim, time_point now);
  void on_entry(const worker_info& info, time_point now);
  void on_entry_gone(const worker_id& id, time_point now);
  void on_hold(const hold_answer& answer, time_point now);
  // This owner has a newer fencing token, for which restarted workers wait.
  void token_given();
  // Another worker has answered a call, sent at `sent`, at the address of this one, which was gone.
  void on_other_worker(const worker_id& id, time_point sent, time_point now);
  // Issues the holds that are due, and gives up the runs on workers whose leases have expired.
  void tick(time_point now);
  // Issues the holds that were requested since tick().
  void send_requested_holds(time_point now);
  // The number of workers claimed by earlier owners that had not answered at the latest tick.
  std::size_t unheard() const { return m_unheard; }
  // How long the next hold to the worker is overdue, beyond the time that a hold and its answer
  // take. Zero if it is not, or if the worker needs no holds. An overdue hold is this owner's delay
  // and not the worker's: holds to a silent worker are repeated in time.
  duration overdue(const worker_record& worker, time_point now) const;

private:
  worker_record& new_record(const worker_id& id, time_point now);
  void hold(worker_record& worker, time_point now);
  milliseconds hold_wait() const;
  // Whether no incarnation that has replaced the known one unnoticed can have an end to list yet.
  bool ends_are_read(const worker_record& worker, time_point now) const;
  bool hold_due(worker_record& worker, time_point now) const;
  // Whether the worker is silent and its next incarnation may carry out a start request that was
  // sent to an earlier one. It is asked often, so that it sees a newer token first.
  static bool probed(const worker_record& worker, time_point now);
  duration probe_interval() const;
  // Requests holds to the other workers at the address that a new entry names.
  void probe_others_at(const worker_info& info);
  // Updates whether the worker counts as present although it has no entry.
  void update_unlisted(worker_record& worker, bool heard);
  // Whether the answer comes from the present incarnation, after making the answering one the
  // present one if it is the later.
  bool from_present_incarnation(worker_record& worker, const hold_answer& answer, time_point now);
  // Handles an answer that shows that the worker has restarted under its id.
  void handle_restart(worker_record& worker, const hold_answer& answer, time_point now);
  void begin_incarnation(worker_record& worker, time_point now);
  void end_incarnation(worker_record& worker, scheduler_state::lost_runs which, const char* why,
                       time_point now);

  std::size_t m_unheard = 0;
  std::size_t m_probed = 0; // the number of workers to be probed at the latest tick
  scheduler_state& m_state;
  crash_watch& m_crashes;
  run_tracker& m_run_tracker;
  takeover_accounting& m_accounting;
  copy_watch& m_copies;
};
} // namespace yardhill::scheduling
