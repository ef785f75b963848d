// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// The partition owner's in-memory record of a worker: its capacity, its runs and its lease.

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
  starting, // a start request was sent or is about to be; nothing confirms yet that the run began
  running,
  stopping
};

struct worker_record;

// One run of a task on one worker. The record exists from the placement of the run, or from its
// first listing by the worker, until the run's end is known or the run counts as lost.
struct run_record
{
  job_record* job = nullptr;
  task_place place;
  run_number number = 0;
  worker_record* worker = nullptr;
  run_phase phase = run_phase::starting;
  common::resources room; // the part of the worker's capacity that the run occupies
  time_point begun;       // when the run was placed, or found on the worker's list
  time_point last_sent;   // when its latest start or stop request was sent
  unsigned sends = 0;     // copies of the start request that were sent
  unsigned answers = 0;   // replies to these copies
  bool listed = false;    // the worker has listed it as running
  // Its start request was sent to an earlier incarnation of the worker, and the present incarnation
  // has not been claimed yet, so the present one may still carry the request out.
  bool orphaned = false;
  std::optional<time_point> start_answered;
  std::optional<time_point> stop_answered;
  // Since when no copy of the start request can be carried out any more, because one was rejected
  // for a permanent reason or its ticket has expired. Only a list can still show that an earlier
  // copy was carried out.
  std::optional<time_point> start_voided_at;
  // The latest lease end that its start requests carry. A worker rejects a copy that arrives later,
  // unless holds have extended the worker's lease beyond that.
  worker_clock_time start_expires{};
  std::string checkpoint; // the latest one listed, or the one that the run was started from
  std::string ticket;
  std::optional<time_point> ticket_over; // from then on every worker rejects the ticket
  std::uint32_t percent = 0;
  std::int64_t load = 0;
  std::uint32_t pace = 100; // percent, as it was last set

  // Whether a copy of the start request may still be carried out, by whichever incarnation of the
  // worker receives it.
  bool start_may_be_in_flight() const { return sends > answers || !listed; }
  // Whether the run may begin at any moment: nothing shows yet that its start request was carried
  // out, or that it cannot be.
  bool start_unresolved() const
  {
    return orphaned || !(listed || start_answered || stop_answered || start_voided_at);
  }
  const jobs::step_spec& spec() const { return *job->step(place).spec; }
  task_ref ref() const { return {job->id(), place}; }
};

// The end of a run that must not be acknowledged yet, since its worker would forget it.
struct kept_end
{
  task_ref task;
  time_point since;
  // Until then another copy of the run's own start request may be carried out.
  time_point until{};
};

// What is known of one incarnation of a worker. A worker may restart under its id: the new
// incarnation has no runs and no memory of the earlier one, and its clock and its end numbers start
// from the beginning.
struct worker_incarnation
{
  std::uint64_t number = 0; // no other incarnation of any worker has it
  bool known = false;       // it has answered this owner, or an earlier one as its claim shows
  std::optional<incarnation_start> born;
  // It has replaced an incarnation that this owner knew. Until it is claimed, start and stop
  // requests to that one may still reach it.
  bool has_predecessor = false;
  // A call has had no answer since the worker's latest lists, so it may have restarted.
  bool incarnation_uncertain = false;
  // When a call last showed which incarnation is there: by an answer to a hold, or by another
  // worker's answer at the address.
  time_point identified_at{};
  // Since when a hold has been wanted that confirms the incarnation, because a start waits for it.
  std::optional<time_point> confirmation_wanted_at;
  // It has answered a hold that was sent after its entry had gone. Entries lapse while their
  // workers cannot reach the store, and return seconds after they can again.
  bool answers_unlisted = false;
  bool over = false;    // another worker has its address; late answers do not bring it back
  bool claimed = false; // it has answered a hold that carried this owner's token
  // The latest hold, or several start or stop requests in a row, had no answer.
  bool unresponsive = false;
  time_point silent_since{}; // while it is unresponsive
  time_point first_seen{};   // when this owner first knew of the incarnation
  // Since when an earlier owner's worker has been asked what it runs. Not set for other workers.
  std::optional<time_point> taken_over;
  // The worker's clock minus this owner's, from the worker's latest answer to a hold.
  std::optional<std::chrono::milliseconds> clock_ahead;
  time_point lease_end{}; // on the owner's clock: by then all runs on the worker have ended
  time_point heard_at{};  // of the latest answer
  // A suspected task has its trial on the worker until then; other suspected tasks wait that long.
  time_point trial_until{};
  // Until then nothing else begins on the worker, so that a loss can be attributed to one task.
  time_point isolated_until{};
  // The task that may begin on the worker although it is isolated.
  const task_record* kept_for_trial = nullptr;
  const run_record* trial = nullptr; // the latest run that set `trial_until` or `isolated_until`
  time_point latest_start{};
  time_point avoid_until{};
  time_point slow_until{}; // until then tasks are placed on it only as a last choice
  unsigned unanswered = 0; // start and stop requests in a row without an answer
  unsigned consecutive_failures = 0;

  // A hold is to be sent at once, beside one in flight, for instance because the worker has an
  // update that the answer to that one may have lost.
  bool hold_requested = false;
  // The worker's time of the latest lists applied. Lists with an earlier time were overtaken and
  // are ignored.
  worker_clock_time listed_at{};

  end_number seen = 0;         // the highest end applied in memory
  end_number durable = 0;      // the highest end whose effect is written to the store
  end_number acknowledged = 0; // the highest end acknowledged by a hold that was answered

  // None of them is acknowledged, except those that wait only for copies of their own starts while
  // `ends_hidden`.
  std::map<end_number, kept_end> kept_ends;
  // A run of this owner is in neither of the latest lists, and the list of ends was cut off. The
  // worker lists later ends only after earlier ones are acknowledged.
  bool ends_hidden = false;

  // Runs that this owner has no record of. Their demand may be unknown, so nothing is placed on the
  // worker while it lists any.
  std::set<std::pair<task_ref, run_number>> foreign;
};

// A worker by its id, with its present incarnation.
struct worker_record : worker_incarnation
{
  worker_info info;
  bool listed = true; // its entry is in the store
  // Whether that entry is valid. If it is not, `info` is what the last valid one said.
  bool entry_valid = true;
  // The entry in the store, if it belongs to another incarnation than the one that answers, or was
  // written by another writer. Only an answer can show which incarnation is the later one.
  std::optional<worker_info> conflicting_entry;
  time_point unlisted_since{};
  time_point forget_at{}; // without an entry, it is asked until then whether it is still there
  // What the store has of the worker for later owners, and the claim that is being written. Runs
  // are started only while the stored claim is an open one of the present incarnation, which means
  // that anything may run there. A closed claim lists all that may run there; nothing is added.
  std::optional<worker_claim> claim;
  std::optional<worker_claim> claim_in_flight;
  // The stored claim states an end of the worker's runs that is not trusted. Until another claim is
  // written, nothing may start there and no lease may be extended.
  bool claim_end_untrusted = false;
  // The store refuses the row of its claim for good, so no claim is written and nothing starts.
  bool claim_refused = false;
  // The fencing token of the calls to the worker. After an incarnation that this owner had claimed,
  // the next one gets a higher token, so that it ignores what was sent to the earlier one.
  fencing_token token = 0;
  // The present incarnation needs a higher token, and no call is sent to it until there is one.
  bool awaits_token = false;
  // A hold with `token` had no answer and may be carried out later, even by the worker's next
  // incarnation.
  bool token_outdated = false;
  // Until then a start request without an answer may be carried out, by the present incarnation or
  // by a later one.
  time_point late_start_until{};
  unsigned holds_in_flight = 0;
  time_point last_hold{};
  common::resources used;
  std::map<task_ref, std::unique_ptr<run_record>> runs;

  // Replaces the present incarnation by one of which nothing is known yet. Its runs stay, as
  // orphaned ones.
  void begin_incarnation(std::uint64_t incarnation_number);
  // Its entry is in the store, or the worker still answers although the entry has gone.
  bool present() const { return listed || answers_unlisted; }
  // Whether `info` was written by the incarnation that answers.
  bool entry_is_current() const { return !conflicting_entry && (!known || info.born == born); }
  // Whether new work may be placed on the worker, as far as its entry goes.
  bool offered() const { return present() && entry_valid && entry_is_current() && !info.draining; }
  worker_clock_time clock_at(time_point now) const;
  void set_unresponsive(bool silent, time_point now);
  // Counts whether a start or stop request was answered. `most_unanswered` of them in a row without
  // an answer make the worker unresponsive.
  void note_order(bool answered, unsigned most_unanswered, time_point now);
  bool late_start_possible(time_point now) const { return now < late_start_until; }
  // Whether its claim has to be closed. Nothing is started on a draining worker, or on one that has
  // been silent for the timeout, so the claim can list the runs that may be there.
  bool should_close_claim(duration timeout, time_point now) const;
  bool silent_for(duration timeout, time_point now) const;
  // Whether one of its runs was placed no longer than `within` before the worker fell silent, or
  // before `now` if it is not silent.
  bool silent_after_start(duration within, time_point now) const;
  // Whether runs may be started on the worker, as far as its claim goes.
  bool claim_open() const
  {
    return claim && claim->born == born && !claim->closed && !claim->over && !claim_in_flight &&
           !claim_end_untrusted;
  }
  // Whether a later owner may read in the store when all runs on the worker are over. Until that is
  // taken back, no lease may be extended there.
  bool end_stated() const
  {
    return claim_end_untrusted || (claim && claim->over) ||
           (claim_in_flight && claim_in_flight->over);
  }
  common::resources free() const { return info.capacity - used; }
  // The worker's part of the cell's free CPU capacity: zero if the worker's capacity has shrunk
  // below what its runs use.
  std::int64_t idle_cpu_millis() const { return std::max<std::int64_t>(0, free().cpu_millis); }
  std::uint32_t count_runs_of_step(const job_record& job, std::uint32_t cycle,
                                   std::uint32_t step) const;
  bool has_label(const std::string& label) const;
};

// The part of a worker's capacity that one task of the step occupies.
common::resources required_resources(const jobs::step_spec& step);
// How many tasks that each need `task` fit in `free`, at most `most`.
std::uint32_t tasks_that_fit(const common::resources& task, const common::resources& free,
                             std::uint32_t most);
} // namespace yardhill::scheduling
