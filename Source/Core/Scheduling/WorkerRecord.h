// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// A worker as its partition's owner holds it in memory: its room, what runs there, its lease.

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <set>

#include "Scheduling/JobRecord.h"
#include "Scheduling/SchedulerMessages.h"

namespace yardhill::scheduling
{
enum class run_phase
{
  starting, // ordered, no sure word yet that it runs
  running,
  stopping
};

struct worker_record;

// One run of a task on one worker. It exists from the order on until its end is known.
struct run_record
{
  job_record* job = nullptr;
  task_place place;
  run_number number = 0;
  worker_record* worker = nullptr;
  run_phase phase = run_phase::starting;
  common::resources room; // what it takes of the worker's capacity
  time_point begun;       // when it was first ordered, or found
  time_point last_sent;   // of the latest start or stop
  unsigned sends = 0;     // of the start
  std::optional<time_point> start_answered;
  std::optional<time_point> stop_answered;
  // A copy of the start was rejected for a reason that stays: since then none can be carried out,
  // and only a list can still show that an earlier one was.
  std::optional<time_point> start_void;
  worker_clock_time start_expires{}; // a start that arrives later does nothing
  std::string checkpoint;            // the latest one listed
  std::string ticket;
  std::optional<time_point> ticket_over; // by then no worker takes the ticket any more
  std::uint32_t percent = 0;
  std::int64_t load = 0;
  std::uint32_t pace = 100; // percent, as it was last set

  const jobs::step_spec& spec() const { return *job->step(place).spec; }
  task_ref ref() const { return {job->id(), place}; }
};

struct worker_record
{
  worker_info info;
  bool listed = true; // its entry is in the store
  // What that entry says can be believed, as far as it was read.
  bool entry_valid = true;
  // It has answered a hold sent since its entry went: entries lapse while the store cannot hear of
  // their workers, and come back seconds later.
  bool heard_unlisted = false;
  time_point unlisted_since{};
  bool over = false;      // another life has its address; late answers do not bring it back
  time_point forget_at{}; // without an entry, it is asked until then whether it is still there
  bool claimed = false;   // it has answered a hold with this owner's token
  // What the store keeps of it for later owners, and what is on its way there. Runs are started
  // only while that is an open claim: anything may run there. A closed one lists what may, and
  // nothing is added to it.
  std::optional<worker_claim> claim;
  std::optional<worker_claim> claim_sent;
  bool claim_doubted = false; // it states an end that is not believed, until another one is written
  bool suspect = false;       // its last answer did not come
  time_point silent_since{};
  // The worker's clock less ours, from its latest answer.
  std::optional<std::chrono::milliseconds> clock_ahead;
  time_point lease_end{}; // on our clock: when all that runs there has surely ended
  time_point heard_at{};  // its latest answer
  std::optional<born_time> born; // of the life that has answered last
  // A suspected task is on trial there until then, and until then nothing else begins there.
  time_point trial_until{};
  time_point isolated_until{};
  const task_record* kept_for_trial = nullptr; // the one that may begin there all the same
  const run_record* trial = nullptr;           // the latest run that set these two
  time_point latest_start{};
  time_point avoid_until{};
  time_point slow_until{}; // last choice until then
  unsigned unanswered = 0; // orders in a row
  unsigned failures_in_a_row = 0;

  unsigned holds_under_way = 0;
  bool ask_at_once = false; // it has news that the hold under way may have lost
  time_point last_hold{};
  worker_clock_time listed_at{}; // of the latest lists taken in; answers may overtake each other

  end_number seen = 0;         // the highest end taken into memory
  end_number durable = 0;      // the highest end whose effect the store keeps
  end_number acknowledged = 0; // the highest end that the worker was told to forget

  common::resources used;
  std::map<task_ref, std::unique_ptr<run_record>> runs;
  // Runs of jobs that are not known here: their size is unknown, so nothing is placed beside them.
  std::set<std::pair<task_ref, run_number>> foreign;

  // Its entry is there, or went while the worker answers on.
  bool present() const { return listed || heard_unlisted; }
  // Whether anything new may be meant for it, as far as its entry goes.
  bool offered() const { return present() && entry_valid && !info.draining; }
  worker_clock_time clock_at(time_point now) const;
  void set_suspect(bool silent, time_point now);
  // Counts an order's outcome; several unanswered ones in a row make the worker suspect.
  void note_order(bool answered, unsigned most_unanswered, time_point now);
  // Whether its claim ought to be closed: nothing is started on a silent or leaving worker, so what
  // runs there can be told. And whether runs may be started there.
  bool wants_closed_claim(duration patience, time_point now) const;
  bool silent_for(duration patience, time_point now) const;
  bool claim_open() const
  {
    return claim && !claim->closed && !claim->over && !claim_sent && !claim_doubted;
  }
  // Whether later owners may read when all that runs there is over: no lease may be extended.
  bool end_stated() const
  {
    return claim_doubted || (claim && claim->over) || (claim_sent && claim_sent->over);
  }
  common::resources free() const { return info.capacity - used; }
  // What it can give of the cell's free processors: nothing where its room has shrunk below what
  // runs there.
  std::int64_t idle_cpu_millis() const { return std::max<std::int64_t>(0, free().cpu_millis); }
  std::uint32_t tasks_of(const job_record& job, std::uint32_t cycle, std::uint32_t step) const;
  bool has_label(const std::string& label) const;
};

// What a task of the step takes of a worker's capacity.
common::resources room_of(const jobs::step_spec& step);
} // namespace yardhill::scheduling
