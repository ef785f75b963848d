// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Scheduling/StartRules.h"

#include <algorithm>

#include "Common/EnumNames.h"

namespace yardhill::scheduling
{
namespace
{
const std::string k_no_ticket;
// Covers the drift of a worker's clock over a ticket's validity: clocks may run 2 % slow, and
// tickets are valid for some seconds.
constexpr milliseconds k_clock_drift_allowance{100};
constexpr auto k_obstacle_names = std::to_array<std::string_view>(
    {"not_permitted", "worker_unusable", "other_zone", "worker_unsuitable", "already_there",
     "step_limit", "foreign_runs", "no_room", "unfit_for_trial", "reserved", "no_ticket",
     "startable"});
static_assert(k_obstacle_names.size() == static_cast<std::size_t>(obstacle::none) + 1);

bool runs_on(const task_record& task, const worker_record& worker)
{
  return std::any_of(task.runs.begin(), task.runs.end(),
                     [&worker](const run_record* run) { return run->worker == &worker; });
}
} // namespace

std::string_view to_text(obstacle why)
{
  return common::name_of(k_obstacle_names, why);
}

bool is_temporary(obstacle why)
{
  return why >= obstacle::step_limit && why <= obstacle::reserved;
}

std::string obstacle_counts::text() const
{
  std::string text;
  for (std::size_t i = 0; i < m_counts.size(); ++i)
  {
    if (m_counts.at(i) > 0)
      text += (text.empty() ? "" : ", ") + std::to_string(m_counts.at(i)) + " " +
              std::string(k_obstacle_names.at(i));
  }
  return text;
}

start_rules::start_rules(const scheduler_state& state, const reservations& reserved,
                         const crash_watch& crashes)
    : m_state(state), m_reservations(reserved), m_crashes(crashes)
{
}

bool meets_requirements(const worker_record& worker, const job_record& job, const step_record& step)
{
  return worker.offered() && worker.claimed && worker.claim_open() &&
         worker.info.service == job.policy().service &&
         worker.has_label(step.spec->required_label) &&
         required_resources(*step.spec).fits_in(worker.info.capacity);
}

bool policy_forbids(const step_record& step, const worker_id& worker)
{
  const auto known = step.permits.permitted.find(worker);
  return known != step.permits.permitted.end() && !known->second;
}

std::uint32_t left_of_step_limit(const worker_record& worker, const job_record& job,
                                 std::uint32_t cycle, std::uint32_t step, std::uint32_t most)
{
  const std::uint32_t limit = job.cycles()[cycle].steps[step].spec->max_tasks_per_worker;
  if (limit == 0)
    return most;
  const std::uint32_t running = worker.count_runs_of_step(job, cycle, step);
  return std::min(most, limit - std::min(limit, running));
}

std::uint32_t start_rules::tasks_that_fit_now(const worker_record& worker, const job_record& job,
                                              const step_ref& which, std::uint32_t most) const
{
  if (!worker.foreign.empty())
    return 0;
  const step_record& step = job.cycles()[which.cycle].steps[which.step];
  const std::uint32_t fitting = tasks_that_fit(required_resources(*step.spec), worker.free(), most);
  return fitting == 0 ? 0 : left_of_step_limit(worker, job, which.cycle, which.step, fitting);
}

bool start_rules::valid_on_arrival(const step_permits::ticket& ticket, time_point now) const
{
  return ticket.until - m_state.request_round_trip > now;
}

const std::string* start_rules::ticket(const job_record& job, const step_record& step,
                                       const worker_id& worker, time_point now) const
{
  if (!job.policy().advice)
    return &k_no_ticket;
  const auto found = step.permits.tickets.find(worker);
  if (found == step.permits.tickets.end() || !valid_on_arrival(found->second, now))
    return nullptr;
  return &found->second.text;
}

std::optional<time_point> start_rules::ticket_expiry(const job_record& job, const step_record& step,
                                                     const worker_id& worker) const
{
  const auto found = step.permits.tickets.find(worker);
  if (!job.policy().advice || found == step.permits.tickets.end())
    return std::nullopt;
  return found->second.until + m_state.options.ticket_margin + k_clock_drift_allowance;
}

obstacle start_rules::obstacle_at(const worker_record& worker, const job_record& job,
                                  const task_place& place, time_point now, isolation rule) const
{
  const step_record& step = job.cycles()[place.cycle].steps[place.step];
  const task_record& task = step.tasks[place.index];
  if (job.policy().advice && policy_forbids(step, worker.info.id))
    return obstacle::not_permitted;
  if (!m_state.usable(worker, now))
    return obstacle::unusable;
  if (!step.begun.covers(worker.info.zone))
    return obstacle::other_zone;
  if (!meets_requirements(worker, job, step))
    return obstacle::unsuitable;
  if (runs_on(task, worker))
    return obstacle::already_there;
  if (left_of_step_limit(worker, job, place.cycle, place.step, 1) == 0)
    return obstacle::step_limit;
  if (!worker.foreign.empty())
    return obstacle::foreign_runs;
  if (!required_resources(*step.spec).fits_in(worker.free()))
    return obstacle::no_room;
  if (rule == isolation::enforced ? !m_crashes.fit(worker, task, now)
                                  : !m_crashes.can_become_fit(worker, task, now))
    return obstacle::unfit_for_trial;
  if (!m_reservations.allows(worker, job, place, now))
    return obstacle::reserved;
  if (ticket(job, step, worker.info.id, now) == nullptr)
    return obstacle::no_ticket;
  return obstacle::none;
}

bool start_rules::may_start(const worker_record& worker, const job_record& job,
                            const task_place& place, time_point now, isolation rule) const
{
  // Checked first because it is cheap and most workers have no free capacity while steps wait.
  return required_resources(*job.cycles()[place.cycle].steps[place.step].spec)
             .fits_in(worker.free()) &&
         obstacle_at(worker, job, place, now, rule) == obstacle::none;
}
} // namespace yardhill::scheduling
