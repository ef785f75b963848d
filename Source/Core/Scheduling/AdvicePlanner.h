// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Decides when to ask which workers a queue's policy permits for a step, and keeps the answers.

#include "Scheduling/Reservations.h"
#include "Scheduling/SchedulerState.h"
#include "Scheduling/ZoneChooser.h"

namespace yardhill::scheduling
{
class advice_planner
{
public:
  advice_planner(scheduler_state& state, const zone_chooser& zones, const reservations& kept);

  // Asks for a step whose tasks wait, about workers that have room for one but no ticket yet.
  void want(job_record& job, std::uint32_t cycle, std::uint32_t step, time_point now);
  // From now on, steps are asked for only as long as their tasks would fit into this much free
  // processor time (thousandths of a core) together.
  void set_budget(std::int64_t cpu_millis) { m_budget = cpu_millis; }
  // Asks for steps that should become ready soon.
  void look_ahead(job_record& job, time_point now);
  // The same for a step that has waited for its turn, whatever room more urgent ones may use.
  void want_in_turn(job_record& job, std::uint32_t cycle, std::uint32_t step, time_point now);
  void on_answer(const advice_answer& answer, time_point now);
  void set_slots(const advice_slots& slots) { m_slots = slots; }
  // The ticket to start a task of the step on that worker; null if there is none. An empty text
  // where the queue needs none.
  const std::string* ticket(const job_record& job, const step_record& step, const worker_id& worker,
                            time_point now) const;
  // Whether a start that is sent now arrives while the ticket holds.
  bool in_time(const step_permits::ticket& ticket, time_point now) const;
  // When that ticket is surely over at the worker; none if the queue needs none.
  std::optional<time_point> ticket_over(const job_record& job, const step_record& step,
                                        const worker_id& worker) const;

private:
  // Why a step is asked about.
  enum class occasion
  {
    first_long, // its tasks wait, and nothing is known yet
    waiting,    // its tasks wait
    ahead       // it should become ready soon
  };

  struct question
  {
    bool is_long = false;
    time_point answer_due;
    std::map<worker_id, std::uint64_t> lives; // of the workers named, as they were
  };

  std::vector<worker_id> worth_asking(const job_record& job, const step_ref& which, occasion why,
                                      time_point now) const;
  // Whether the worker has room for a task of the step, or is kept for it and should have room when
  // the answer comes.
  bool room_in_time(const worker_record& worker, const job_record& job, const step_ref& which,
                    time_point now) const;
  void ask(job_record& job, std::uint32_t cycle, std::uint32_t step, occasion why, time_point now);
  // Whether that is the life that was asked about.
  bool same_life(const question& asked, const worker_id& worker) const;
  bool soon(job_record& job, std::uint32_t cycle, std::uint32_t step, time_point now) const;

  scheduler_state& m_state;
  const zone_chooser& m_zones;
  const reservations& m_reservations;
  std::int64_t m_budget = 0;
  advice_slots m_slots;
  std::map<step_ref, question> m_under_way;
};

// Whether a task of the step may run on the worker at all, its present load left aside.
bool suits(const worker_record& worker, const job_record& job, const step_record& step);
// Whether the queue's policy is known not to permit the step on the worker.
bool ruled_out(const step_record& step, const worker_id& worker);
} // namespace yardhill::scheduling
