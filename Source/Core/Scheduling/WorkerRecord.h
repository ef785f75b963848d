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
  unsigned answers = 0;   // to these
  bool listed = false;    // the worker has said that it runs
  // It was sent to an earlier life of the worker, and the present one is not claimed yet: it may
  // carry it out still.
  bool orphaned = false;
  std::optional<time_point> start_answered;
  std::optional<time_point> stop_answered;
  // A copy of the start was rejected for a reason that stays: since then none can be carried out,
  // and only a list can still show that an earlier one was.
  std::optional<time_point> start_void;
  worker_clock_time start_expires{}; // no copy of its start is carried out later
  std::string checkpoint;            // the latest one listed
  std::string ticket;
  std::optional<time_point> ticket_over; // by then no worker takes the ticket any more
  std::uint32_t percent = 0;
  std::int64_t load = 0;
  std::uint32_t pace = 100; // percent, as it was last set

  // Whether a copy of its start may be carried out yet, by whatever life is there then.
  bool may_be_on_its_way() const { return sends > answers || !listed; }
  // Whether its start may still be carried out: nothing tells yet that it was, or cannot be.
  bool may_begin() const
  {
    return orphaned || !(listed || start_answered || stop_answered || start_void);
  }
  const jobs::step_spec& spec() const { return *job->step(place).spec; }
  task_ref ref() const { return {job->id(), place}; }
};

// An end that its worker must not forget yet.
struct kept_end
{
  task_ref task;
  time_point since;
};

// What is known of one life of a worker. A worker may start again under its id: it then holds and
// knows nothing of before, and its clock and its numbers of ends begin anew.
struct worker_life
{
  std::uint64_t number = 0; // no other life of any worker has it
  bool known = false;       // it has answered, or an earlier owner has heard it
  std::optional<incarnation_start> born;
  // Until it is claimed, orders to an earlier life may reach it.
  bool follows_another = false;
  bool life_doubted = false; // a call has had no answer since its latest lists
  time_point told_at{};      // it answered last then with its lists, which say whose they are
  // It has answered a hold sent since its entry went: entries lapse while the store cannot hear of
  // their workers, and come back seconds later.
  bool heard_unlisted = false;
  bool over = false;    // another worker has its address; late answers do not bring it back
  bool claimed = false; // it has answered a hold with this owner's token
  bool suspect = false; // its last answer did not come
  time_point silent_since{};
  time_point first_seen{};
  std::optional<time_point> taken_over; // since when it has been asked, if an earlier owner's
  // The worker's clock less ours, from its latest answer.
  std::optional<std::chrono::milliseconds> clock_ahead;
  time_point lease_end{}; // on our clock: when all that runs there has surely ended
  time_point heard_at{};  // its latest answer
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

  bool ask_at_once = false;      // it has news that the hold under way may have lost
  worker_clock_time listed_at{}; // of the latest lists taken in; answers may overtake each other

  end_number seen = 0;         // the highest end taken into memory
  end_number durable = 0;      // the highest end whose effect the store keeps
  end_number acknowledged = 0; // the highest end that the worker was told to forget

  std::map<end_number, kept_end> kept_ends; // none of them is acknowledged

  // Runs of jobs that are not known here: their size is unknown, so nothing is placed beside them.
  std::set<std::pair<task_ref, run_number>> foreign;
};

// A worker by its id, with its present life.
struct worker_record : worker_life
{
  worker_info info;
  bool listed = true; // its entry is in the store
  // What that entry says can be believed, as far as it was read.
  bool entry_valid = true;
  // The entry in the store, if another life or another writer has written it than the life that
  // answers. Which life is the later one only an answer can tell.
  std::optional<worker_info> other_entry;
  time_point unlisted_since{};
  time_point forget_at{}; // without an entry, it is asked until then whether it is still there
  // What the store keeps of it for later owners, and what is on its way there. Runs are started
  // only while that is an open claim of the present life: anything may run there. A closed one
  // lists what may, and nothing is added to it.
  std::optional<worker_claim> claim;
  std::optional<worker_claim> claim_sent;
  bool claim_doubted = false; // it states an end that is not believed, until another one is written
  // What orders to it bear. A life that follows one which this owner has ordered about gets a
  // higher one, so that it does nothing of what was sent before; none is given it until there is.
  fencing_token token = 0;
  bool token_wanted = false;
  // A hold that bears it had no answer and may be carried out later, even by the worker's next
  // life.
  bool token_outdated = false;
  unsigned holds_under_way = 0;
  time_point last_hold{};
  common::resources used;
  std::map<task_ref, std::unique_ptr<run_record>> runs;

  // Another life begins, of which nothing is known yet. Its runs stay, as orphans.
  void begin_life(std::uint64_t its_number);
  // Its entry is there, or went while the worker answers on.
  bool present() const { return listed || heard_unlisted; }
  // Whether what is known of its kind and room is the present life's own word.
  bool described() const { return !other_entry && (!known || info.born == born); }
  // Whether anything new may be meant for it, as far as its entry goes.
  bool offered() const { return present() && entry_valid && described() && !info.draining; }
  worker_clock_time clock_at(time_point now) const;
  void set_suspect(bool silent, time_point now);
  // Counts an order's outcome; several unanswered ones in a row make the worker suspect.
  void note_order(bool answered, unsigned most_unanswered, time_point now);
  // Whether its claim ought to be closed: nothing is started on a silent or leaving worker, so what
  // runs there can be told. And whether runs may be started there.
  bool wants_closed_claim(duration patience, time_point now) const;
  bool silent_for(duration patience, time_point now) const;
  // Whether one of its runs had begun no longer than that before it fell silent.
  bool silent_after_start(duration within, time_point now) const;
  bool claim_open() const
  {
    return claim && claim->born == born && !claim->closed && !claim->over && !claim_sent &&
           !claim_doubted;
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
